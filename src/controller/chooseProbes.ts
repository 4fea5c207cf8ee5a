import type { SessionState } from '../fleet/mod.js';

/**
 * Number of live older sessions that a controller probes, besides the unreachable ones in between.
 * With two, a single lost answer does not extend the probes to further sessions, and the cost per
 * controller does not depend on the number of controllers.
 */
const LIVE_PREDECESSORS = 2;
/** Sessions that rank 0 probes in rotation per tick: all of 42 within a minute at 4 s per tick. */
const ROTATION_SIZE = 3;
/**
 * Maximum number of sessions with missed probes that rank 0 probes per tick, which limits the load
 * while a whole region is unreachable.
 */
const MISSED_ROTATION_SIZE = 8;

/** Options of `chooseProbes`. */
export interface ProbeOptions {
  /** Session id of this controller. */
  own: string;
  isAlive: (session: string) => boolean;
  /** Whether the session missed its most recent probe. */
  hasMissedProbe: (session: string) => boolean;
  /** Whether this controller has rank 0. */
  isRankZero: boolean;
  /** Number of the tick, which advances the rotation. */
  tick: number;
}

function chooseRotation(sessions: SessionState[], size: number, tick: number): SessionState[] {
  if (sessions.length <= size) return sessions;
  const start = (tick * size) % sessions.length;
  return [...sessions, ...sessions].slice(start, start + size);
}

/**
 * Chooses the controller sessions to probe at a tick.
 *
 * Each controller probes the sessions that were opened before its own, starting with the most
 * recent, up to and including the second live one. The oldest live controller therefore always
 * detects that no live session precedes its own. Rank 0 also probes the later sessions, to end
 * those that are lost.
 *
 * @example
 * ```ts
 * chooseProbes(sessions, { own, isAlive, hasMissedProbe, isRankZero: false, tick: 0 });
 * ```
 */
export function chooseProbes(sessions: SessionState[], options: ProbeOptions): SessionState[] {
  const { own, isAlive, hasMissedProbe, isRankZero, tick } = options;
  const ordered = [...sessions].sort((a, b) => a.openedOffset - b.openedOffset);
  const ownIndex = ordered.findIndex((candidate) => candidate.session === own);
  const before = ownIndex < 0 ? ordered : ordered.slice(0, ownIndex);
  const chosen = new Set<SessionState>();
  let live = 0;
  for (const candidate of before.reverse()) {
    if (live >= LIVE_PREDECESSORS) break;
    chosen.add(candidate);
    if (isAlive(candidate.session)) live += 1;
  }
  if (!isRankZero) return [...chosen];
  const others = ordered.filter((candidate) => candidate.session !== own);
  const missed = others.filter((candidate) => hasMissedProbe(candidate.session));
  chooseRotation(missed, MISSED_ROTATION_SIZE, tick).forEach((candidate) => chosen.add(candidate));
  chooseRotation(others, ROTATION_SIZE, tick).forEach((candidate) => chosen.add(candidate));
  return [...chosen];
}
