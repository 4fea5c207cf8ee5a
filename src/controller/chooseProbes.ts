import type { SessionState } from '../fleet/mod.js';

/**
 * A controller looks back past dead sessions to this many live ones. Two keep a single lost answer
 * from widening the search, and the cost of a controller is the same however many there are.
 */
const LIVE_PREDECESSORS = 2;
/** Sessions that rank 0 looks at in turn at each tick: all of 42 within a minute at 4 s a tick. */
const ROTATION_SIZE = 3;
/** Bounds the probes of rank 0 to sessions that missed some, while a whole region is cut off. */
const MISSED_ROTATION_SIZE = 8;

/** What the choice depends on. */
export interface ProbeOptions {
  /** The own session. */
  own: string;
  isAlive: (session: string) => boolean;
  /** Whether the session missed its last probe. */
  hasMissedProbe: (session: string) => boolean;
  /** Whether the own rank is 0. */
  isRankZero: boolean;
  /** Counts the ticks; sessions take turns by it. */
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
 * Each controller probes the sessions opened before its own, from the nearest on, until it has
 * passed two live ones; so the oldest live controller always finds that none is before it. Rank 0
 * also probes the sessions after its own, to end those that are lost.
 *
 * @example
 * ```ts
 * chooseProbes(sessions, { own, isAlive, isMissed, isFirst: false, tick: 0 });
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
