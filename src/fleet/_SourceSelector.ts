/** A source that has not answered for this long is not relied on: a long poll and a margin. */
const HEALTHY_MS = 4_500;
/** How long a first call to a source may take before the next source is asked as well. */
const GRACE_MS = 1_000;
/** A source whose own news of the platform is older than this is not relied on alone. */
const STALE_MS = 10_000;
/** A source that answered nonsense is left alone for this long. */
const QUARANTINE_MS = 60_000;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;
/** Bounds the control bytes while several sources are slow. */
const MAX_POLLED = 3;

interface SourceState {
  pollingSince: number | undefined;
  answeredAt: number;
  contactAt: number;
  failures: number;
  retryAt: number;
}

function isTrying({ failures, answeredAt, pollingSince }: SourceState, now: number): boolean {
  if (failures > 0 || pollingSince === undefined) return false;
  return answeredAt === Number.NEGATIVE_INFINITY && now - pollingSince < GRACE_MS;
}

/**
 * Decides which sources a follower polls: the first one that can be relied on, and those before it,
 * so that a better source is taken up again as soon as it is back.
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

  /** Latest time at which any source, directly or through others, had heard from the platform. */
  get contactAt(): number {
    return Math.max(...this.#states.map((state) => state.contactAt));
  }

  /** Chooses the sources to poll now and marks them as polled. */
  choose(now: number): number[] {
    const chosen: number[] = [];
    let polled = 0;
    for (const [index, state] of this.#states.entries()) {
      if (polled >= MAX_POLLED) break;
      if (state.pollingSince === undefined && now >= state.retryAt) {
        state.pollingSince = now;
        chosen.push(index);
      }
      if (state.pollingSince !== undefined) polled += 1;
      if (this.isHealthy(index, now) || isTrying(state, now)) break;
    }
    return chosen;
  }

  /** Takes note of a good answer. */
  accept(index: number, now: number, contactAgeMs: number): void {
    const state = this.#find(index);
    state.pollingSince = undefined;
    state.answeredAt = now;
    state.contactAt = Math.max(state.contactAt, now - contactAgeMs);
    state.failures = 0;
  }

  /** Takes note that a source did not answer. */
  fail(index: number, now: number): void {
    const state = this.#find(index);
    const limit = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(state.failures, 10));
    state.pollingSince = undefined;
    state.failures += 1;
    state.retryAt = now + limit / 2 + (this.#random() * limit) / 2;
  }

  /** Takes note that a source answered nonsense. */
  refuse(index: number, now: number): void {
    this.fail(index, now);
    this.#find(index).retryAt = now + QUARANTINE_MS;
  }

  /** Whether a source can be relied on alone. */
  isHealthy(index: number, now: number): boolean {
    const { failures, answeredAt, contactAt } = this.#find(index);
    return failures === 0 && now - answeredAt < HEALTHY_MS && now - contactAt < STALE_MS;
  }

  #find(index: number): SourceState {
    const state = this.#states[index];
    if (state === undefined) throw new RangeError(`no source has the index ${index}`);
    return state;
  }
}
