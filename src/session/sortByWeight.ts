import { computeWeight } from './computeWeight.js';

/**
 * Sorts nodes by their rendezvous weight for a key, the owner first.
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
