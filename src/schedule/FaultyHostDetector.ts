import type { ManagedHost } from './ManagedHost.js';

/** Failed runs in a row after which a host is suspected. */
const MIN_CONSECUTIVE_FAILURES = 3;
/** Different jobs among them; a single job that can never be done must not blame a host. */
const MIN_FAILED_JOBS = 2;
/** First suspension in ms; doubled each time it is repeated. */
const INITIAL_SUSPENSION_MS = 2_000;
/** Longest suspension in ms, so that a host that was repaired comes back within a minute. */
const MAX_SUSPENSION_MS = 30_000;

/**
 * Tells faulty hosts from jobs that cannot be done.
 *
 * A host on which several jobs in a row fail gets no new work for a while; the next run after the
 * suspension decides whether it is suspended for twice as long. A job that fails everywhere fails
 * on hosts on which others succeed, so it never fills the row.
 *
 * @example
 * ```ts
 * blame.reportFailure(host, '5c0e', now); // ms of suspension, 0 for none
 * ```
 */
export class FaultyHostDetector {
  readonly #suspensionCounts = new Map<string, number>();

  /** Records a finished run. */
  reportSuccess(host: ManagedHost): void {
    host.recordOutcome('', false);
    this.#suspensionCounts.delete(host.id);
  }

  /** Records a failed run and returns for how many ms the host is suspended, 0 for none. */
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

  /** Drops what is known of a host. */
  remove(host: ManagedHost): void {
    this.#suspensionCounts.delete(host.id);
  }
}
