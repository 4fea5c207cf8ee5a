import type { Host } from '../host/mod.js';

/**
 * Returns a key that identifies the rack of a host. Rack names alone are ambiguous, because they
 * are reused across data centres.
 *
 * @example
 * ```ts
 * toRackKey({ dataCentre: 'rennes-1', rack: 'r4' }); // 'rennes-1/r4'
 * ```
 */
export function toRackKey(host: Pick<Host, 'dataCentre' | 'rack'>): string {
  return `${host.dataCentre}/${host.rack}`;
}
