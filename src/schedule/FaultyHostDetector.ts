import type { ManagedHost } from './ManagedHost.js';

/** Number of consecutive failed runs after which a host is suspected to be faulty. */
const MIN_CONSECUTIVE_FAILURES = 3;
/** Minimum number of jobs among these runs, since a single job may fail on every host. */
const MIN_FAILED_JOBS = 2;
/** Duration of the first suspension in ms; each further one is twice as long. */
const INITIAL_SUSPENSION_MS = 2_000;
/** Maximum suspension in ms, so that a repaired host receives work again within a minute. */
const MAX_SUSPENSION_MS = 30_000;

/**
 * Distinguishes faulty hosts from jobs that fail on every host.
 *
 * A host on which runs of several jobs fail consecutively receives no new work for a while. If the
 * next run after the suspension fails too, the host is suspended for twice as long. A job that
 * fails everywhere causes no suspension, since runs of other jobs succeed on the same hosts.
 *
 * @example
 * ```ts
 * detector.reportFailure(host, '5c0e', now); // suspension in ms, 0 if there is none
 * ```
 */
export class FaultyHostDetector {
  readonly #suspensionCounts = new Map<string, number>();

  /** Records a successful run. */
  reportSuccess(host: ManagedHost): void {
    host.recordOutcome('', false);
    this.#suspensionCounts.delete(host.id);
  }

  /** Records a failed run and returns the resulting suspension in ms, 0 if there is none. */
  reportFailure(host: ManagedHost, job: string, now: number): number {
    host.recordOutcome(job, true);
    const previousSuspensions = this.#suspensionCounts.get(host.id) ?? 0;
    const isSuspect =
      host.failuresInRow >= MIN_CONSECUTIVE_FAILURES &&
      (host.failedJobs.size >= MIN_FAILED_JOBS || previousSuspensions > 0);
    if (!isSuspect || host.suspendedUntil > now) return 0;
    const durationMs = Math.min(
      MAX_SUSPENSION_MS,
      INITIAL_SUSPENSION_MS * 2 ** previousSuspensions,
    );
    this.#suspensionCounts.set(host.id, previousSuspensions + 1);
    host.suspend(now + durationMs);
    return durationMs;
  }

  /** Removes the state of a host. */
  remove(host: ManagedHost): void {
    this.#suspensionCounts.delete(host.id);
  }
}
