import type { Host } from '../host/mod.js';

/**
 * Names the rack of a host uniquely; rack names repeat between data centres.
 *
 * @example
 * ```ts
 * toRackKey({ dataCentre: 'rennes-1', rack: 'r4' }); // 'rennes-1/r4'
 * ```
 */
export function toRackKey(host: Pick<Host, 'dataCentre' | 'rack'>): string {
  return `${host.dataCentre}/${host.rack}`;
}
