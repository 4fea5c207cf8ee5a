import type { SessionState } from '../fleet/mod.js';

/**
 * Computes the rank of a controller: the number of reachable controllers with older sessions. A
 * controller whose own session is not open yet ranks after all of them.
 *
 * @example
 * ```ts
 * computeRank(sessions, { own: 's2', isAlive: (session) => alive.has(session) }); // 1
 * ```
 */
export function computeRank(
  sessions: SessionState[],
  options: { own: string; isAlive: (session: string) => boolean },
): number {
  const own = sessions.find((other) => other.session === options.own);
  const openedOffset = own?.openedOffset ?? Number.POSITIVE_INFINITY;
  return sessions.filter(
    (other) =>
      other.role === 'controller' &&
      other.session !== options.own &&
      other.openedOffset < openedOffset &&
      options.isAlive(other.session),
  ).length;
}
