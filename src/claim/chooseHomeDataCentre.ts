import type { DataCentreSet } from '../fleet/mod.js';
import { sortByWeight } from '../session/mod.js';
import type { IdempotencyKey } from './IdempotencyKey.js';

/**
 * Chooses the home data centre of a key: by rendezvous hashing over the data centres in effect when
 * the key was created. Undefined while none is configured.
 *
 * @param sets Oldest first; the last one in effect at the key's creation is used.
 */
export function chooseHomeDataCentre(
  key: IdempotencyKey,
  sets: DataCentreSet[],
): string | undefined {
  const set = sets.findLast((candidate) => candidate.inForceFrom <= key.createdAt);
  return set && sortByWeight(key.text, set.names)[0];
}
