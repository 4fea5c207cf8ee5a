import { formatPlace, type Finding, type Place } from '../finding/mod.js';

/** A value that must be unique, with its place. */
export interface UniqueValue {
  value: string;
  place: Place;
}

/** Reports each duplicate value with its place and the place of the first occurrence. */
export function checkUnique(label: string, values: readonly UniqueValue[]): Finding[] {
  const first = new Map<string, Place>();
  return values.flatMap(({ value, place }): Finding[] => {
    const earlier = first.get(value);
    if (earlier === undefined) {
      first.set(value, place);
      return [];
    }
    const message = `${label} "${value}" is also at ${formatPlace(earlier)}`;
    return [{ severity: 'error', message, place }];
  });
}
