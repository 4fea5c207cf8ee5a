import { OUTCOME_MEMORY_MS, OutcomeWindow } from './_OutcomeWindow.js';
import type { ManagedHost } from './ManagedHost.js';

/** Number of consecutive failed runs after which a host is suspected to be faulty. */
const MIN_CONSECUTIVE_FAILURES = 3;
/** Minimum number of jobs among these runs, since a single job may fail on every host. */
const MIN_FAILED_JOBS = 2;
/** A faulty host fails at least this many times as large a share of its runs as other hosts. */
const MIN_FAILURE_RATIO = 2;
/** Number of other hosts with outcomes from which on a host is compared with them. */
const MIN_COMPARED_HOSTS = 2;
/** Duration of the first suspension in ms; each further one is twice as long. */
const INITIAL_SUSPENSION_MS = 2_000;
/** Maximum suspension in ms, so that a repaired host receives work again within a minute. */
const MAX_SUSPENSION_MS = 30_000;

interface Suspensions {
  count: number;
  /** Monotonic time in ms at which the last one ends. */
  until: number;
}

/**
 * Distinguishes faulty hosts from jobs that fail on every host.
 *
 * A host on which runs of several jobs fail consecutively receives no new work for a while, unless
 * runs fail about as often on the other hosts of its pool. If the next run after the suspension
 * fails too, the host is suspended for twice as long. Outcomes and suspensions are forgotten after
 * 30 s. A job that fails everywhere causes no suspension, since runs of other jobs succeed on the
 * same hosts.
 *
 * @example
 * ```ts
 * detector.reportFailure(host, '5c0e', now); // suspension in ms, 0 if there is none
 * ```
 */
export class FaultyHostDetector {
  readonly #windows = new Map<string, OutcomeWindow>();

  readonly #suspensions = new Map<string, Suspensions>();

  /** Records a run that was successful or, if it is long-running, has worked for a while. */
  reportSuccess(host: ManagedHost, now: number): void {
    host.recordOutcome(false);
    this.#open(host).add(undefined, now);
    this.#suspensions.delete(host.id);
  }

  /** Records a failed run and returns the resulting suspension in ms, 0 if there is none. */
  reportFailure(host: ManagedHost, job: string, now: number): number {
    host.recordOutcome(true);
    const window = this.#open(host);
    window.add(job, now);
    const previous = this.#countSuspensions(host, now);
    const failures = window.listFailuresInRow(now);
    const isSuspect =
      failures.length >= MIN_CONSECUTIVE_FAILURES &&
      (new Set(failures).size >= MIN_FAILED_JOBS || previous > 0) &&
      this.#isWorseThanOthers(host, now);
    if (!isSuspect || host.suspendedUntil > now) return 0;
    const durationMs = Math.min(MAX_SUSPENSION_MS, INITIAL_SUSPENSION_MS * 2 ** previous);
    this.#suspensions.set(host.id, { count: previous + 1, until: now + durationMs });
    host.suspend(now + durationMs);
    return durationMs;
  }

  /** Removes the state of a host. */
  remove(host: ManagedHost): void {
    this.#windows.delete(host.id);
    this.#suspensions.delete(host.id);
  }

  #open(host: ManagedHost): OutcomeWindow {
    const known = this.#windows.get(host.id);
    if (known !== undefined && known.pool === host.pool) return known;
    const window = new OutcomeWindow(host.pool);
    this.#windows.set(host.id, window);
    return window;
  }

  #countSuspensions(host: ManagedHost, now: number): number {
    const suspensions = this.#suspensions.get(host.id);
    if (suspensions === undefined) return 0;
    if (now - suspensions.until <= OUTCOME_MEMORY_MS) return suspensions.count;
    this.#suspensions.delete(host.id);
    return 0;
  }

  /** Compares a host with the median of the others, so that other faulty hosts have no effect. */
  #isWorseThanOthers(host: ManagedHost, now: number): boolean {
    const shares = [...this.#windows]
      .filter(([id, { pool }]) => id !== host.id && pool === host.pool)
      .flatMap(([, window]) => window.computeFailureShare(now) ?? [])
      .sort((one, other) => one - other);
    if (shares.length < MIN_COMPARED_HOSTS) return true;
    const median = shares[Math.floor((shares.length - 1) / 2)] ?? 0;
    const own = this.#windows.get(host.id)?.computeFailureShare(now) ?? 0;
    return own >= MIN_FAILURE_RATIO * median;
  }
}
