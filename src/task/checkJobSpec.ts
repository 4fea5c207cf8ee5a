import type { Finding } from '../finding/mod.js';
import {
  JobSpec,
  MAX_CONCURRENT_TASKS_PER_JOB,
  MAX_PAYLOAD_BYTES,
  MAX_TASKS_PER_JOB,
  type StepSpec,
} from './JobSpec.js';

/** Result of validating a submitted job: the parsed job, or all findings. */
export type JobCheck = { job: JobSpec } | { findings: Finding[] };

function countTasks(steps: readonly StepSpec[]): number {
  return steps.reduce((sum, { count }) => sum + count, 0);
}

/** Checks the sizes that no single step shows. */
function checkSize({ payload, steps }: JobSpec): Finding[] {
  const sizes = [
    { path: 'payload', found: Buffer.byteLength(payload), unit: 'bytes', max: MAX_PAYLOAD_BYTES },
    { path: 'steps', found: countTasks(steps), unit: 'tasks', max: MAX_TASKS_PER_JOB },
    {
      path: 'steps',
      found: countTasks(steps.filter(({ isLasting }) => isLasting)),
      unit: 'long-running tasks',
      max: MAX_CONCURRENT_TASKS_PER_JOB,
    },
  ];
  return sizes
    .filter(({ found, max }) => found > max)
    .map(({ path, found, unit, max }) => ({
      severity: 'error',
      message: `${found} ${unit}, at most ${max} are accepted`,
      place: { path },
    }));
}

/**
 * Validates a submitted job and reports all findings at once, each with its path.
 *
 * @example
 * ```ts
 * checkJobSpec({ payload: 'x', steps: [{ count: 1, after: [3] }] });
 * // { findings: [{ message: 'step 0 cannot wait for step 3, ...', place: { path: 'steps.0.after' } }] }
 * ```
 */
export function checkJobSpec(value: unknown): JobCheck {
  const parsed = JobSpec.safeParse(value);
  if (!parsed.success) {
    const findings = parsed.error.issues.map((issue): Finding => ({
      severity: 'error',
      message: issue.message,
      place: { path: issue.path.map(String).join('.') },
    }));
    return { findings };
  }
  const job = parsed.data;
  const findings = checkSize(job);
  job.steps.forEach((step, index) => {
    const notEarlier = step.after.find((before) => before >= index);
    if (notEarlier !== undefined) {
      findings.push({
        severity: 'error',
        message: `step ${index} cannot wait for step ${notEarlier}, which does not come before it`,
        place: { path: `steps.${index}.after` },
      });
    }
  });
  return findings.length > 0 ? { findings } : { job };
}
