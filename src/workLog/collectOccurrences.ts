import type { TrackedJob } from './TrackedJob.js';
import type { JobProgress, StepProgress } from './WorkLogRecord.js';

type OccurrenceProgress = JobProgress['occurrences'][number];

/**
 * Collects what the work log says about the occurrences of a job, in its progress record and in the
 * parts beside it. While a job is being split into parts, both may describe an occurrence; what is
 * in one of them holds.
 *
 * @example
 * ```ts
 * collectOccurrences(tracked).forEach(({ number, steps }) => restore(number, steps));
 * ```
 */
export function collectOccurrences({
  progress,
  progressParts = [],
  spec,
}: Pick<TrackedJob, 'progress' | 'progressParts' | 'spec'>): OccurrenceProgress[] {
  if (progressParts.length === 0) return progress?.occurrences ?? [];
  const collected = new Map<number, StepProgress[]>();
  const open = (number: number): StepProgress[] => {
    const steps =
      collected.get(number) ?? spec.steps.map(() => ({ done: [], failed: [], started: [] }));
    collected.set(number, steps);
    return steps;
  };
  const add = (known: StepProgress | undefined, { done, failed, started }: StepProgress): void => {
    known?.done.push(...done);
    known?.failed.push(...failed);
    known?.started.push(...started);
  };
  progress?.occurrences.forEach(({ number, steps }) => {
    const known = open(number);
    steps.forEach((step, index) => add(known[index], step));
  });
  progressParts.forEach(({ occurrence, steps }) => {
    const known = open(occurrence);
    steps.forEach(({ step, ...rest }) => add(known[step], rest));
  });
  return [...collected].map(([number, steps]) => ({ number, steps }));
}
