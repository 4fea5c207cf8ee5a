import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';

/** Share of the target at which the tasks beside are slowed, before the target is missed. */
const THROTTLE_ABOVE = 0.85;
/** Share of the target below which they get more again. */
const INCREASE_BELOW = 0.6;
/** Factor by which the pace is lowered. */
const DECREASE_FACTOR = 0.5;
/** Pace below which a task is halted, in percent. */
const MIN_PACE = 10;
/** Steps by which the pace is raised, in percent. */
const INCREASE_STEP = 15;

/** A change of the pace of a run. */
export interface PaceChange {
  run: Run;
  /** 0 to 100. */
  percent: number;
}

/**
 * Slows tasks that use idle processor time before they make a serving task beside them miss its
 * latency target: halves their pace while a tail is near its target, and raises it in steps while
 * all tails are well below (additive increase, multiplicative decrease).
 *
 * @example
 * ```ts
 * InterferenceControl.plan(host).forEach(({ run, percent }) => pace(run, percent));
 * ```
 */
export class InterferenceControl {
  /** Plans changes for one host from its last report. */
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
