import { FLEET_LISTS, type FleetDocument } from './FleetDocument.js';

/**
 * Merges fleet documents by concatenating their lists. A list that no document has stays absent.
 *
 * @example
 * ```ts
 * mergeDocuments([{ hosts: [] }, { pools: [] }]); // { hosts: [], pools: [] }
 * ```
 */
export function mergeDocuments(documents: readonly FleetDocument[]): FleetDocument {
  const lists = FLEET_LISTS.map((list) => {
    const containing = documents.filter((one) => one[list] !== undefined);
    return containing.length === 0
      ? []
      : [[list, containing.flatMap((one): unknown[] => one[list] ?? [])]];
  });
  return Object.fromEntries(lists.flat()) as FleetDocument;
}
