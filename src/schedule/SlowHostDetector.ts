import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';

/** Minimum number of slow runs on a slow host, since a single run may be slow by itself. */
const MIN_SLOW_RUNS = 2;
/** Suspension of a slow host in ms; it is extended while further reports show slow runs. */
const SUSPENSION_MS = 2_000;
/** Minimum speedup by a restart: ratio of a run's remaining time to the time of a complete run. */
const MIN_SPEEDUP = 2;

/** Pace of a run that is not throttled. */
const FULL_PACE = 100;

/** Measures against a slow host. */
export interface SlowHostPlan {
  /** Monotonic time until which the host receives no new work. */
  suspendedUntil: number;
  /** Runs to stop, so that their tasks are restarted on other hosts. */
  restarts: Run[];
}

/**
 * Distinguishes hosts that have become slow or hang from tasks that take long: on a slow host all
 * runs have slowed down, whereas next to a long task other runs make normal progress.
 *
 * A slow host receives no new work for a while. Runs whose remaining time on the host is much
 * longer than a complete new run are restarted on other hosts, except those of gangs, since the
 * stop of one run ends its whole gang.
 *
 * @example
 * ```ts
 * SlowHostDetector.plan(host, now)?.restarts.forEach((run) => stop(run));
 * ```
 */
export class SlowHostDetector {
  /** Evaluates the last report of a host; returns undefined if the host is not known to be slow. */
  static plan(host: ManagedHost, now: number): SlowHostPlan | undefined {
    const measured = [...host.runs.values()].filter(
      ({ state, unit, pace, progress }) =>
        state === 'running' &&
        !unit.spec.isLasting &&
        pace === FULL_PACE &&
        progress.isSlow !== undefined,
    );
    const slow = measured.filter(({ progress }) => progress.isSlow === true);
    if (slow.length < MIN_SLOW_RUNS || slow.length < measured.length) return undefined;
    return {
      suspendedUntil: now + SUSPENSION_MS,
      restarts: slow.filter((run) => !run.unit.spec.gang && SlowHostDetector.#isWorthRestart(run)),
    };
  }

  static #isWorthRestart({ unit, progress }: Run): boolean {
    const fullMs = unit.step.findMedianRunTime() ?? progress.estimateTotalMs();
    const remainingMs = progress.estimateRemainingMs();
    if (remainingMs === undefined) return false;
    return remainingMs === Infinity || (fullMs !== undefined && remainingMs > MIN_SPEEDUP * fullMs);
  }
}
