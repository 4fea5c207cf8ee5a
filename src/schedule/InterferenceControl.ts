import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';

/** Ratio of latency to target above which best-effort tasks are throttled; below 1 to act early. */
const THROTTLE_ABOVE = 0.85;
/** Ratio of latency to target below which best-effort tasks are accelerated again. */
const INCREASE_BELOW = 0.6;
/** Factor by which the pace is decreased. */
const DECREASE_FACTOR = 0.5;
/** Pace in percent below which a task is halted. */
const MIN_PACE = 10;
/** Increment in percent by which the pace is increased. */
const INCREASE_STEP = 15;

/** A change of the pace of a run. */
export interface PaceChange {
  run: Run;
  /** CPU share from 0 to 100. */
  percent: number;
}

/**
 * Throttles best-effort tasks before they cause a task on the same host to miss its latency target.
 *
 * The pace of best-effort tasks is halved while the tail latency of any task is close to its
 * target, and increased in fixed increments while all are well below (additive increase,
 * multiplicative decrease).
 *
 * @example
 * ```ts
 * InterferenceControl.plan(host).forEach(({ run, percent }) => pace(run, percent));
 * ```
 */
export class InterferenceControl {
  /** Plans the pace changes for a host according to its last report. */
  static plan(host: ManagedHost): PaceChange[] {
    let maxLatencyRatio = 0;
    const bestEffortRuns: Run[] = [];
    host.runs.forEach((run) => {
      if (run.state !== 'running') return;
      const { latencyTargetMs, usesIdleCpu } = run.unit.spec;
      if (latencyTargetMs !== undefined)
        maxLatencyRatio = Math.max(maxLatencyRatio, run.load / latencyTargetMs);
      if (usesIdleCpu) bestEffortRuns.push(run);
    });
    if (maxLatencyRatio > THROTTLE_ABOVE) {
      return InterferenceControl.#planChanges(bestEffortRuns, (pace) => {
        const lowered = Math.floor(pace * DECREASE_FACTOR);
        return lowered < MIN_PACE ? 0 : lowered;
      });
    }
    if (maxLatencyRatio < INCREASE_BELOW) {
      return InterferenceControl.#planChanges(bestEffortRuns, (pace) =>
        Math.min(100, pace + INCREASE_STEP),
      );
    }
    return [];
  }

  static #planChanges(runs: readonly Run[], computePace: (pace: number) => number): PaceChange[] {
    return runs
      .filter((run) => !run.isPacePending)
      .map((run) => ({ run, percent: computePace(run.pace) }))
      .filter(({ run, percent }) => percent !== run.pace);
  }
}
