import type { Service } from './Service.js';

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}

/**
 * Finds the service whose path prefix is the longest match, on a segment boundary.
 *
 * The health of the pool is ignored: falling back to a shorter prefix while a service has no hosts
 * would send its requests to the upstream hosts of another service.
 *
 * @param path Request path without the query string.
 * @example
 * ```ts
 * findService('/match/42', [{ ...match, pathPrefix: '/match' }])?.name; // 'match'
 * findService('/matches', [{ ...match, pathPrefix: '/match' }]); // undefined
 * ```
 */
export function findService(path: string, services: Iterable<Service>): Service | undefined {
  let best: Service | undefined;
  [...services].forEach((service) => {
    if (!hasPrefix(path, service.pathPrefix)) return;
    if (best === undefined || service.pathPrefix.length > best.pathPrefix.length) best = service;
  });
  return best;
}
