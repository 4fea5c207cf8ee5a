import { z } from 'zod';

/** Identifies one task of one occurrence of a job. */
export const TaskId = z.object({
  job: z.string(),
  /** Always 0 for a job without recurrence. */
  occurrence: z.number().int().nonnegative(),
  step: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
});
export type TaskId = z.infer<typeof TaskId>;

/**
 * Formats a task identifier as `JOB.OCCURRENCE.STEP.INDEX`.
 *
 * @example
 * ```ts
 * formatTaskId({ job: '5c0e', occurrence: 0, step: 1, index: 17 }); // '5c0e.0.1.17'
 * ```
 */
export function formatTaskId({ job, occurrence, step, index }: TaskId): string {
  return `${job}.${occurrence}.${step}.${index}`;
}

const TASK_ID = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/**
 * Parses `JOB.OCCURRENCE.STEP.INDEX`; returns undefined if the text has another format.
 *
 * @example
 * ```ts
 * parseTaskId('5c0e.0.1.17')?.index; // 17
 * ```
 */
export function parseTaskId(text: string): TaskId | undefined {
  const match = TASK_ID.exec(text);
  if (match === null) return undefined;
  const [, job = '', occurrence, step, index] = match;
  return { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
