import { z } from 'zod';
import { Host, HostState } from '../host/mod.js';
import type { Fleet } from './Fleet.js';

/** One host as operators read it. */
export const HostReport = z.object({
  host: Host,
  state: HostState.optional(),
});
export type HostReport = z.infer<typeof HostReport>;

/** Describes one host; undefined if the inventory does not have it. */
export function describeHost(fleet: Fleet, name: string): HostReport | undefined {
  const host = fleet.data.configuration.host.get(name)?.object;
  return host && structuredClone({ host, state: fleet.findHostState(name) });
}
