import type { ScheduledStep } from './ScheduledStep.js';

/** A step with waiting tasks and its sort key. */
export interface RankedStep {
  step: ScheduledStep;
  /** Sort key in ascending order, compared element by element. */
  rank: readonly number[];
}

type Ranked = Pick<RankedStep, 'rank'>;

/** Compares two sort keys. */
export function compareRanks(one: Ranked, other: Ranked): number {
  for (let index = 0; index < one.rank.length; index += 1) {
    const difference = (one.rank[index] ?? 0) - (other.rank[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Decides in which order waiting steps are placed on hosts, and which are given up first. */
export abstract class SchedulingPolicy {
  abstract sort(steps: readonly ScheduledStep[], nowWallMs: number): ScheduledStep[];

  /** Sorts steps in the order in which they are given up if some of them have to be refused. */
  sortForRefusal(steps: readonly ScheduledStep[], nowWallMs: number): ScheduledStep[] {
    return this.sort(steps, nowWallMs).reverse();
  }
}
