import { formatPlace, type Finding, type Place } from '../finding/mod.js';

/** A value that must not occur twice, with its place. */
export interface UniqueValue {
  value: string;
  place: Place;
}

/** Reports each value that occurred before, with both places. */
export function checkUnique(what: string, values: readonly UniqueValue[]): Finding[] {
  const first = new Map<string, Place>();
  return values.flatMap(({ value, place }): Finding[] => {
    const earlier = first.get(value);
    if (earlier === undefined) {
      first.set(value, place);
      return [];
    }
    const message = `${what} "${value}" is also at ${formatPlace(earlier)}`;
    return [{ severity: 'error', message, place }];
  });
}
