/* eslint-disable no-bitwise -- hashing works on bits. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function computeHash(text: string, seed: number): number {
  let hash = (FNV_OFFSET ^ seed) >>> 0;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // The last bytes of a text barely reach the high bits in FNV-1a, so the result is mixed.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Computes the weight of a node for a key, for rendezvous hashing: the node with the highest weight
 * owns the key. Equal in every process. 32 bits; the caller breaks ties by the node's name.
 *
 * @example
 * ```ts
 * computeWeight('0190-key', 'session-a') > computeWeight('0190-key', 'session-b');
 * ```
 */
export function computeWeight(key: string, node: string): number {
  return computeHash(node, computeHash(key, 0));
}
