/* eslint-disable no-bitwise -- the hash function needs bitwise operators. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function computeHash(text: string, seed: number): number {
  let hash = (FNV_OFFSET ^ seed) >>> 0;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // In FNV-1a the last bytes of a text hardly affect the high bits, so a final mixing step follows.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Computes the 32-bit weight of a node for a key, for rendezvous hashing: the node with the highest
 * weight owns the key. The result is the same in every process. Callers break ties by node name.
 *
 * @example
 * ```ts
 * computeWeight('0190-key', 'session-a') > computeWeight('0190-key', 'session-b');
 * ```
 */
export function computeWeight(key: string, node: string): number {
  return computeHash(node, computeHash(key, 0));
}
