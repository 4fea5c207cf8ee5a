import type { Finding } from '../finding/mod.js';
import { JobSpec, MAX_PAYLOAD_BYTES } from './JobSpec.js';

/** Result of validating a submitted job: the parsed job, or all findings. */
export type JobCheck = { job: JobSpec } | { findings: Finding[] };

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
  const findings: Finding[] = [];
  const bytes = Buffer.byteLength(job.payload);
  if (bytes > MAX_PAYLOAD_BYTES) {
    findings.push({
      severity: 'error',
      message: `${bytes} bytes, at most ${MAX_PAYLOAD_BYTES} are accepted`,
      place: { path: 'payload' },
    });
  }
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
