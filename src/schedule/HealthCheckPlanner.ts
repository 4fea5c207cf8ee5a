import type { ManagedHost } from './ManagedHost.js';

/** Minimum interval in ms between checks of one host, since every check incurs a cost. */
const MIN_CHECK_INTERVAL_MS = 1_000;
/** Time in ms for which a suspected host receives no new work after it reported unhealthy. */
const UNHEALTHY_PAUSE_MS = 2_000;

/**
 * Plans health checks, limited to hosts on which a run has just failed or is slow.
 *
 * The result of a check may be wrong in either direction. A suspected host that reports unhealthy
 * receives no new work for a while, earlier than its failures alone would cause it. A healthy
 * result does not clear the suspicion, and hosts whose runs make normal progress are not checked.
 *
 * @example
 * ```ts
 * if (planner.startCheck(host, now)) checkHealth(host);
 * HealthCheckPlanner.computePause(host, false, now); // time in ms without new work
 * ```
 */
export class HealthCheckPlanner {
  /** Time of the last check by host incarnation. */
  readonly #checkedAt = new Map<string, number>();

  /** Decides whether to check a host now; if so, records the time of the check. */
  startCheck(host: ManagedHost, now: number): boolean {
    if (!HealthCheckPlanner.#isSuspect(host)) return false;
    if (now - (this.#checkedAt.get(host.id) ?? -Infinity) < MIN_CHECK_INTERVAL_MS) return false;
    this.#checkedAt.set(host.id, now);
    return true;
  }

  /** Computes for how many ms a host receives no new work after a check, 0 if it is not paused. */
  static computePause(host: ManagedHost, isWell: boolean | undefined, now: number): number {
    const isSuspendedLonger = host.suspendedUntil >= now + UNHEALTHY_PAUSE_MS;
    return isWell === false && HealthCheckPlanner.#isSuspect(host) && !isSuspendedLonger
      ? UNHEALTHY_PAUSE_MS
      : 0;
  }

  /** Removes the state of a host. */
  remove(host: ManagedHost): void {
    this.#checkedAt.delete(host.id);
  }

  static #isSuspect({ failuresInRow, runs }: ManagedHost): boolean {
    return failuresInRow > 0 || [...runs.values()].some(({ progress }) => progress.isSlow === true);
  }
}
