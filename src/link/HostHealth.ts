/** Number of results that count towards the failure rate. */
const MAX_WINDOW_RESULTS = 20;
const WINDOW_MS = 10_000;
/** Fewer failures than this are not enough evidence to eject a host for its failure rate. */
const MIN_FAILURES = 3;
const EJECT_FAILURE_RATE = 0.5;
/** Time between ejection and the first probe. It doubles with each failed probe. */
export const BASE_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;

/**
 * What the result of a run indicates about its host. `neutral` results indicate nothing, for
 * example when the caller disconnected.
 */
export type HealthSignal = 'good' | 'bad' | 'refused' | 'leaving' | 'neutral';

/** Context in which a run ended. */
export interface HealthRecordOptions {
  now: number;
  /** Whether the pool can spare the host. A host that announces it is leaving is ejected anyway. */
  mayEject: boolean;
  isProbe: boolean;
}

/** Passive health check of one upstream host: its failure rate, ejection and probes. */
export class HostHealth {
  #results: { at: number; failed: boolean }[] = [];

  #ejectedUntil: number | undefined;

  #ejectionMs = BASE_EJECTION_MS;

  #isProbing = false;

  /** Whether the host is ejected and gets no jobs except a probe. */
  get isEjected(): boolean {
    return this.#ejectedUntil !== undefined;
  }

  /** Whether the host may get a job now. An ejected host gets exactly one at a time, as a probe. */
  canTakeJob(now: number): boolean {
    if (this.#ejectedUntil === undefined) return true;
    return now >= this.#ejectedUntil && !this.#isProbing;
  }

  /** Records that a job was sent to the host. Returns true if the job is a probe. */
  startJob(): boolean {
    this.#isProbing ||= this.isEjected;
    return this.isEjected;
  }

  /**
   * Records the result of a run.
   *
   * @returns `out` if the host was ejected, `back` if it was restored, otherwise undefined.
   */
  record(signal: HealthSignal, options: HealthRecordOptions): 'out' | 'back' | undefined {
    const { now, mayEject, isProbe } = options;
    if (isProbe) return this.#finishProbe(signal, now);
    // Runs that started before the ejection give no new information.
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
