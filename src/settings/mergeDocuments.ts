import { FLEET_LISTS, type FleetDocument } from './FleetDocument.js';

/**
 * Merges fleet documents: each list is the concatenation of those of the documents that have it.
 *
 * @example
 * ```ts
 * mergeDocuments([{ hosts: [] }, { pools: [] }]); // { hosts: [], pools: [] }
 * ```
 */
export function mergeDocuments(documents: readonly FleetDocument[]): FleetDocument {
  const lists = FLEET_LISTS.map((list) => {
    const having = documents.filter((one) => one[list] !== undefined);
    return having.length === 0 ? [] : [[list, having.flatMap((one): unknown[] => one[list] ?? [])]];
  });
  return Object.fromEntries(lists.flat()) as FleetDocument;
}
