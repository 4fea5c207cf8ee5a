import type { ManagedHost } from './ManagedHost.js';

/** Failed runs in a row after which a host is suspected. */
const FAILURES_IN_ROW = 3;
/** Different jobs among them; a single job that can never be done must not blame a host. */
const FAILED_JOBS = 2;
/** First suspension in ms; doubled each time it is repeated. */
const SUSPENSION_MS = 2_000;
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
export class HostBlame {
  readonly #suspensions = new Map<string, number>();

  /** Records a finished run. */
  reportSuccess(host: ManagedHost): void {
    host.recordOutcome('', false);
    this.#suspensions.delete(host.id);
  }

  /** Records a failed run and returns for how many ms the host is suspended, 0 for none. */
  reportFailure(host: ManagedHost, job: string, now: number): number {
    host.recordOutcome(job, true);
    const repeats = this.#suspensions.get(host.id) ?? 0;
    const isSuspect =
      host.failuresInRow >= FAILURES_IN_ROW && (host.failedJobs.size >= FAILED_JOBS || repeats > 0);
    if (!isSuspect || host.suspendedUntil > now) return 0;
    const durationMs = Math.min(MAX_SUSPENSION_MS, SUSPENSION_MS * 2 ** repeats);
    this.#suspensions.set(host.id, repeats + 1);
    host.suspend(now + durationMs);
    return durationMs;
  }

  /** Drops what is known of a host. */
  remove(host: ManagedHost): void {
    this.#suspensions.delete(host.id);
  }
}
