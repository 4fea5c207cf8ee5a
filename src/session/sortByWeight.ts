import { computeWeight } from './computeWeight.js';

/**
 * Sorts nodes by their rendezvous hashing weight for a key, highest first: the first owns the key.
 *
 * @example
 * ```ts
 * const [owner] = sortByWeight(key, ['session-a', 'session-b']);
 * ```
 */
export function sortByWeight(key: string, nodes: Iterable<string>): string[] {
  return [...nodes]
    .map((node) => ({ node, weight: computeWeight(key, node) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(({ node }) => node);
}
