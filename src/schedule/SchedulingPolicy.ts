import type { ScheduledStep } from './ScheduledStep.js';

/** A step with waiting tasks and its sort key. */
export interface RankedStep {
  step: ScheduledStep;
  /** Sort key in ascending order, compared element by element. */
  rank: readonly number[];
}

/** Decides in which order waiting steps are placed on hosts. */
export abstract class SchedulingPolicy {
  abstract sort(steps: readonly ScheduledStep[], nowWallMs: number): ScheduledStep[];
}
