import type { Occurrence } from './Occurrence.js';
import type { ScheduledStep } from './ScheduledStep.js';
import { compareRanks, SchedulingPolicy } from './SchedulingPolicy.js';

/**
 * A policy that sorts steps by ranks. Steps of one occurrence differ only in whether they are
 * long-running, so a rank, which looks at all steps of the job, is computed once for all of them.
 */
export abstract class RankedPolicy extends SchedulingPolicy {
  override sort(steps: readonly ScheduledStep[], nowWallMs: number): ScheduledStep[] {
    const lasting = new Map<Occurrence, readonly number[]>();
    const others = new Map<Occurrence, readonly number[]>();
    return steps
      .map((step) => {
        const ranks = step.spec.isLasting ? lasting : others;
        const rank = ranks.get(step.occurrence) ?? this.rank(step, nowWallMs);
        ranks.set(step.occurrence, rank);
        return { step, rank };
      })
      .sort(compareRanks)
      .map(({ step }) => step);
  }

  /** Computes the sort key of a step, compared element by element in ascending order. */
  protected abstract rank(step: ScheduledStep, nowWallMs: number): readonly number[];
}
