import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';

/** Share of the target at which the tasks beside are slowed, before the target is missed. */
const SLOW_AT = 0.85;
/** Share of the target below which they get more again. */
const RAISE_BELOW = 0.6;
/** Factor by which the pace is lowered. */
const LOWER_FACTOR = 0.5;
/** Pace below which a task is halted, in percent. */
const MIN_PACE = 10;
/** Steps by which the pace is raised, in percent. */
const RAISE_STEP = 15;

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
    let worst = 0;
    const fillers: Run[] = [];
    host.runs.forEach((run) => {
      if (run.state !== 'running') return;
      const { latencyTargetMs, usesIdleCpu } = run.unit.spec;
      if (latencyTargetMs !== undefined) worst = Math.max(worst, run.load / latencyTargetMs);
      if (usesIdleCpu) fillers.push(run);
    });
    if (worst > SLOW_AT) {
      return InterferenceControl.#change(fillers, (pace) => {
        const lowered = Math.floor(pace * LOWER_FACTOR);
        return lowered < MIN_PACE ? 0 : lowered;
      });
    }
    if (worst < RAISE_BELOW) {
      return InterferenceControl.#change(fillers, (pace) => Math.min(100, pace + RAISE_STEP));
    }
    return [];
  }

  static #change(runs: readonly Run[], compute: (pace: number) => number): PaceChange[] {
    return runs
      .filter((run) => !run.isPacing)
      .map((run) => ({ run, percent: compute(run.pace) }))
      .filter(({ run, percent }) => percent !== run.pace);
  }
}
