import { formatPlace, type Finding } from '../finding/mod.js';
import type { Service } from '../service/mod.js';
import type { LocatedObject } from './LocatedObject.js';

/** Strips the slash at the end, which has no meaning in a path prefix. */
function stripSlash(prefix: string): string {
  return prefix.replace(/\/+$/, '');
}

/**
 * Reports equal path prefixes as errors, since a request must have one service, and overlapping
 * ones as warnings, since the longer prefix wins.
 */
export function checkPrefixes(services: readonly LocatedObject<Service>[]): Finding[] {
  return services.flatMap(({ object, locate }, index) =>
    services.slice(0, index).flatMap((earlier): Finding[] => {
      const mine = stripSlash(object.pathPrefix);
      const other = stripSlash(earlier.object.pathPrefix);
      const isEqual = mine === other;
      if (!isEqual && !mine.startsWith(`${other}/`) && !other.startsWith(`${mine}/`)) return [];
      const verb = isEqual ? 'equals' : 'overlaps with';
      const where = formatPlace(earlier.locate('pathPrefix'));
      const prefixes = `"${object.pathPrefix}" ${verb} "${earlier.object.pathPrefix}"`;
      const effect = isEqual ? '' : '; the longer one wins';
      return [
        {
          severity: isEqual ? 'error' : 'warning',
          message: `${prefixes} of service "${earlier.object.name}" at ${where}${effect}`,
          place: locate('pathPrefix'),
        },
      ];
    }),
  );
}
