import type { Host, Resources } from './Host.js';

/** Whether a host provides at least the required resources. */
export function hasResources(host: Host, required: Resources): boolean {
  return (
    host.resources.cores >= required.cores &&
    host.resources.memoryGb >= required.memoryGb &&
    host.resources.accelerators >= required.accelerators
  );
}
