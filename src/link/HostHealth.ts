/** Results that count towards the error rate. */
const WINDOW_RESULTS = 20;
const WINDOW_MS = 10_000;
/** Fewer failures than this are no evidence against a host. */
const MIN_FAILURES = 3;
const EJECT_RATE = 0.5;
/** Pause before a probe; it doubles with each failed probe. */
export const FIRST_PAUSE_MS = 2_000;
const MAX_PAUSE_MS = 30_000;

/** What a run says of its host. `neutral` runs say nothing, such as those the caller gave up. */
export type HealthSign = 'good' | 'bad' | 'refused' | 'leaving' | 'neutral';

/** Circumstances of a run's end. */
export interface HealthRecordOptions {
  now: number;
  /** Whether the pool can spare the host; a host that says it is leaving goes anyway. */
  mayEject: boolean;
  isProbe: boolean;
}

/** The health of one upstream host: its error rate, its pause and its probe. */
export class HostHealth {
  #results: { at: number; failed: boolean }[] = [];

  #outUntil: number | undefined;

  #pauseMs = FIRST_PAUSE_MS;

  #probing = false;

  /** Whether the host gets no work but a probe. */
  get isOut(): boolean {
    return this.#outUntil !== undefined;
  }

  /** Whether the host may get a job now; for a host that is out, exactly one as a probe. */
  isOpen(now: number): boolean {
    if (this.#outUntil === undefined) return true;
    return now >= this.#outUntil && !this.#probing;
  }

  /** Takes note of a job sent to the host; true if the job is a probe. */
  take(): boolean {
    this.#probing ||= this.isOut;
    return this.isOut;
  }

  /**
   * Records what a run says of the host.
   *
   * @returns Whether the host went out of rotation or came back.
   */
  record(sign: HealthSign, options: HealthRecordOptions): 'out' | 'back' | undefined {
    const { now, mayEject, isProbe } = options;
    if (isProbe) return this.#finishProbe(sign, now);
    // Runs that were started before the host went out say nothing new.
    if (sign === 'neutral' || this.isOut) return undefined;
    this.#results = this.#results
      .filter(({ at }) => now - at < WINDOW_MS)
      .slice(1 - WINDOW_RESULTS);
    this.#results.push({ at: now, failed: sign !== 'good' });
    const failures = this.#results.filter(({ failed }) => failed).length;
    const isFailing = failures >= MIN_FAILURES && failures >= EJECT_RATE * this.#results.length;
    if (sign !== 'leaving' && !(mayEject && (sign === 'refused' || isFailing))) return undefined;
    this.#pause(now);
    return 'out';
  }

  #finishProbe(sign: HealthSign, now: number): 'back' | undefined {
    this.#probing = false;
    if (sign === 'good') {
      this.#outUntil = undefined;
      this.#pauseMs = FIRST_PAUSE_MS;
      this.#results = [];
      return 'back';
    }
    if (sign !== 'neutral') this.#pause(now);
    return undefined;
  }

  #pause(now: number): void {
    this.#outUntil = now + this.#pauseMs;
    this.#pauseMs = Math.min(MAX_PAUSE_MS, 2 * this.#pauseMs);
    this.#results = [];
  }
}
