import type { Service } from './Service.js';

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}

/**
 * Finds the service with the longest prefix of a path, on a segment boundary.
 *
 * The health of its pool plays no part: a service without hosts must not fall back to a shorter
 * prefix, since that would send its requests to another service's upstreams.
 *
 * @param path Path of the request without its query.
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
