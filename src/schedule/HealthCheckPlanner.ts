import type { ManagedHost } from './ManagedHost.js';

/** A host is asked again after this time in ms at the earliest; each question has its price. */
const MIN_CHECK_INTERVAL_MS = 1_000;
/** A suspected host that calls itself ill gets no new work for this time in ms. */
const UNHEALTHY_PAUSE_MS = 2_000;

/**
 * Asks hosts about their health, but only hosts on which a run has just failed or is slow.
 *
 * Answers may be false either way. An ill host that is suspected is left alone for a while, earlier
 * than its failures alone would show it; a good answer clears no suspicion, and a host whose runs
 * are done in time is not asked at all.
 *
 * @example
 * ```ts
 * if (inquiry.takeQuestion(host, now)) ask(host);
 * HealthInquiry.computePause(host, false, now); // ms for which it gets no new work
 * ```
 */
export class HealthCheckPlanner {
  /** When each host was last asked, by life. */
  readonly #checkedAt = new Map<string, number>();

  /** Checks whether a host is to be asked now, and takes note that it is. */
  startCheck(host: ManagedHost, now: number): boolean {
    if (!HealthCheckPlanner.#isSuspect(host)) return false;
    if (now - (this.#checkedAt.get(host.id) ?? -Infinity) < MIN_CHECK_INTERVAL_MS) return false;
    this.#checkedAt.set(host.id, now);
    return true;
  }

  /** Computes for how many ms a host is to get no new work after its answer, 0 for not at all. */
  static computePause(host: ManagedHost, isWell: boolean | undefined, now: number): number {
    const isSuspendedLonger = host.suspendedUntil >= now + UNHEALTHY_PAUSE_MS;
    return isWell === false && HealthCheckPlanner.#isSuspect(host) && !isSuspendedLonger
      ? UNHEALTHY_PAUSE_MS
      : 0;
  }

  /** Drops what is known of a host. */
  remove(host: ManagedHost): void {
    this.#checkedAt.delete(host.id);
  }

  static #isSuspect({ failuresInRow, runs }: ManagedHost): boolean {
    return failuresInRow > 0 || [...runs.values()].some(({ progress }) => progress.isSlow === true);
  }
}
