import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';

/** Slow runs that show a slow host; a single one may be slow by itself. */
const MIN_SLOW_RUNS = 2;
/** A host that was found slow gets no new work for this time in ms; the next report extends it. */
const SUSPENSION_MS = 2_000;
/** A slow run is started elsewhere if it would last this many times as long as a whole new run. */
const MIN_SPEEDUP = 2;

/** Pace of a run that is not slowed by an order. */
const FULL_PACE = 100;

/** What is to be done about a host. */
export interface SlowHostPlan {
  /** Steady time until which the host gets no new work. */
  suspendedUntil: number;
  /** Runs to be stopped, so that their tasks are started on other hosts. */
  restarts: Run[];
}

/**
 * Tells hosts that have turned slow or stand still from tasks that take long: on a slow host no task
 * gets on as it did, while a long task has others beside it that do.
 *
 * A slow host gets no new work for a while, and runs that would take much longer there than a whole
 * new run are started elsewhere. Gangs are left alone, since one stop ends all their runs.
 *
 * @example
 * ```ts
 * SlownessControl.plan(host, now)?.restarts.forEach((run) => stop(run));
 * ```
 */
export class SlowHostDetector {
  /** Plans for one host from its last report; undefined when it is sound or not known to be slow. */
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
