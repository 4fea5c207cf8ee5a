/** Results that count towards the error rate. */
const MAX_WINDOW_RESULTS = 20;
const WINDOW_MS = 10_000;
/** Fewer failures than this are no evidence against a host. */
const MIN_FAILURES = 3;
const EJECT_FAILURE_RATE = 0.5;
/** Pause before a probe; it doubles with each failed probe. */
export const BASE_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;

/** What a run says of its host. `neutral` runs say nothing, such as those the caller gave up. */
export type HealthSignal = 'good' | 'bad' | 'refused' | 'leaving' | 'neutral';

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

  #ejectedUntil: number | undefined;

  #ejectionMs = BASE_EJECTION_MS;

  #isProbing = false;

  /** Whether the host gets no work but a probe. */
  get isEjected(): boolean {
    return this.#ejectedUntil !== undefined;
  }

  /** Whether the host may get a job now; for a host that is out, exactly one as a probe. */
  canTakeJob(now: number): boolean {
    if (this.#ejectedUntil === undefined) return true;
    return now >= this.#ejectedUntil && !this.#isProbing;
  }

  /** Takes note of a job sent to the host; true if the job is a probe. */
  startJob(): boolean {
    this.#isProbing ||= this.isEjected;
    return this.isEjected;
  }

  /**
   * Records what a run says of the host.
   *
   * @returns Whether the host went out of rotation or came back.
   */
  record(signal: HealthSignal, options: HealthRecordOptions): 'out' | 'back' | undefined {
    const { now, mayEject, isProbe } = options;
    if (isProbe) return this.#finishProbe(signal, now);
    // Runs that were started before the host went out say nothing new.
    if (signal === 'neutral' || this.isEjected) return undefined;
    this.#results = this.#results
      .filter(({ at }) => now - at < WINDOW_MS)
      .slice(1 - MAX_WINDOW_RESULTS);
    this.#results.push({ at: now, failed: signal !== 'good' });
    const failures = this.#results.filter(({ failed }) => failed).length;
    const isFailing =
      failures >= MIN_FAILURES && failures >= EJECT_FAILURE_RATE * this.#results.length;
    if (signal !== 'leaving' && !(mayEject && (signal === 'refused' || isFailing)))
      return undefined;
    this.#eject(now);
    return 'out';
  }

  #finishProbe(signal: HealthSignal, now: number): 'back' | undefined {
    this.#isProbing = false;
    if (signal === 'good') {
      this.#ejectedUntil = undefined;
      this.#ejectionMs = BASE_EJECTION_MS;
      this.#results = [];
      return 'back';
    }
    if (signal !== 'neutral') this.#eject(now);
    return undefined;
  }

  #eject(now: number): void {
    this.#ejectedUntil = now + this.#ejectionMs;
    this.#ejectionMs = Math.min(MAX_EJECTION_MS, 2 * this.#ejectionMs);
    this.#results = [];
  }
}
