import { formatPlace, type Finding } from '../finding/mod.js';
import type { Service } from '../service/mod.js';
import type { LocatedObject } from './LocatedObject.js';

/** Strips trailing slashes, which have no meaning in a path prefix. */
function stripTrailingSlashes(prefix: string): string {
  return prefix.replace(/\/+$/, '');
}

/**
 * Reports equal path prefixes as errors, since a request must match a single service, and
 * overlapping ones as warnings, since the longest prefix takes precedence.
 */
export function checkPathPrefixes(services: readonly LocatedObject<Service>[]): Finding[] {
  return services.flatMap(({ object, locate }, index) =>
    services.slice(0, index).flatMap((earlier): Finding[] => {
      const prefix = stripTrailingSlashes(object.pathPrefix);
      const earlierPrefix = stripTrailingSlashes(earlier.object.pathPrefix);
      const isEqual = prefix === earlierPrefix;
      if (
        !isEqual &&
        !prefix.startsWith(`${earlierPrefix}/`) &&
        !earlierPrefix.startsWith(`${prefix}/`)
      )
        return [];
      const relation = isEqual ? 'equals' : 'overlaps with';
      const earlierPlace = formatPlace(earlier.locate('pathPrefix'));
      const prefixes = `"${object.pathPrefix}" ${relation} "${earlier.object.pathPrefix}"`;
      const effect = isEqual ? '' : '; the longer one wins';
      return [
        {
          severity: isEqual ? 'error' : 'warning',
          message: `${prefixes} of service "${earlier.object.name}" at ${earlierPlace}${effect}`,
          place: locate('pathPrefix'),
        },
      ];
    }),
  );
}
