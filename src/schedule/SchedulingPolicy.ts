import type { ScheduledStep } from './ScheduledStep.js';

/** A step with waiting tasks, with what decides its place in the order. */
export interface RankedStep {
  step: ScheduledStep;
  /** Smaller comes first; compared element by element. */
  rank: readonly number[];
}

/** Decides in which order waiting steps get room. */
export abstract class SchedulingPolicy {
  abstract sort(steps: readonly ScheduledStep[], nowWallMs: number): ScheduledStep[];
}
