/** Time without an answer after which a source is unhealthy: a long poll plus a margin. */
const ANSWER_TIMEOUT_MS = 4_500;
/** Time that the first poll of a source may take before the next source is polled as well. */
const FIRST_ANSWER_GRACE_MS = 1_000;
/** A source whose last contact with the platform is older than this is unhealthy. */
const STALE_AGE_MS = 10_000;
/** Time for which a source that sent invalid data is not polled. */
const QUARANTINE_MS = 60_000;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;
/** Limits the control traffic while several sources are slow. */
const MAX_CONCURRENT_POLLS = 3;

interface SourceState {
  pollingSince: number | undefined;
  answeredAt: number;
  contactAt: number;
  failures: number;
  retryAt: number;
}

function isAwaitingFirstAnswer(
  { failures, answeredAt, pollingSince }: SourceState,
  now: number,
): boolean {
  if (failures > 0 || pollingSince === undefined) return false;
  return answeredAt === Number.NEGATIVE_INFINITY && now - pollingSince < FIRST_ANSWER_GRACE_MS;
}

/**
 * Selects the sources that a follower polls: the first healthy source in order of preference, and
 * all sources before it, so that a preferred source is used again as soon as it recovers.
 *
 * Times are monotonic milliseconds.
 */
export class SourceSelector {
  readonly #states: SourceState[];

  readonly #random: () => number;

  constructor(count: number, random: () => number) {
    this.#random = random;
    this.#states = Array.from({ length: count }, () => ({
      pollingSince: undefined,
      answeredAt: Number.NEGATIVE_INFINITY,
      contactAt: Number.NEGATIVE_INFINITY,
      failures: 0,
      retryAt: Number.NEGATIVE_INFINITY,
    }));
  }

  /** Time of the latest direct or relayed contact of any source with the platform. */
  get contactAt(): number {
    return Math.max(...this.#states.map((state) => state.contactAt));
  }

  /** Chooses the sources to poll now and marks them as being polled. */
  choose(now: number): number[] {
    const chosen: number[] = [];
    let activePolls = 0;
    for (const [index, state] of this.#states.entries()) {
      if (activePolls >= MAX_CONCURRENT_POLLS) break;
      if (state.pollingSince === undefined && now >= state.retryAt) {
        state.pollingSince = now;
        chosen.push(index);
      }
      if (state.pollingSince !== undefined) activePolls += 1;
      if (this.isHealthy(index, now) || isAwaitingFirstAnswer(state, now)) break;
    }
    return chosen;
  }

  /** Records a valid answer of a source. */
  recordAnswer(index: number, now: number, contactAgeMs: number): void {
    const state = this.#getState(index);
    state.pollingSince = undefined;
    state.answeredAt = now;
    state.contactAt = Math.max(state.contactAt, now - contactAgeMs);
    state.failures = 0;
  }

  /**
   * Records that a source did not answer, and schedules a retry with randomized exponential
   * backoff.
   */
  recordFailure(index: number, now: number): void {
    const state = this.#getState(index);
    const limit = Math.min(
      MAX_RETRY_DELAY_MS,
      MIN_RETRY_DELAY_MS * 2 ** Math.min(state.failures, 10),
    );
    state.pollingSince = undefined;
    state.failures += 1;
    state.retryAt = now + limit / 2 + (this.#random() * limit) / 2;
  }

  /** Records that a source sent invalid data, and stops polling it for a while. */
  suspend(index: number, now: number): void {
    this.recordFailure(index, now);
    this.#getState(index).retryAt = now + QUARANTINE_MS;
  }

  /** Returns whether a source can be relied on without polling later sources. */
  isHealthy(index: number, now: number): boolean {
    const { failures, answeredAt, contactAt } = this.#getState(index);
    return failures === 0 && now - answeredAt < ANSWER_TIMEOUT_MS && now - contactAt < STALE_AGE_MS;
  }

  #getState(index: number): SourceState {
    const state = this.#states[index];
    if (state === undefined) throw new RangeError(`there is no source at index ${index}`);
    return state;
  }
}
