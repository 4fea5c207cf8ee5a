import { isDeepStrictEqual } from 'node:util';
import { StepSpec } from '../task/mod.js';
import type { AcceptedJob } from './WorkLogRecord.js';

const DEFAULT_STEP: Record<string, unknown> = StepSpec.parse({ count: 1 });

/** Omits the fields of a step that readers set to the same value if they are absent. */
function stripDefaults({ count, ...fields }: StepSpec): Record<string, unknown> {
  const given = Object.entries(fields).filter(
    ([name, value]) => !isDeepStrictEqual(value, DEFAULT_STEP[name]),
  );
  return { count, ...Object.fromEntries(given) };
}

/**
 * Encodes an accepted job for the work log. Fields with default values are omitted, so that a record
 * is about as large as the body of the submission, and not a multiple of it.
 *
 * @example
 * ```ts
 * const record = { key: WorkLogKey.job(id, job.dataCentre), value: encodeAcceptedJob(job) };
 * ```
 */
export function encodeAcceptedJob(job: AcceptedJob): string {
  return JSON.stringify({
    ...job,
    spec: { ...job.spec, steps: job.spec.steps.map(stripDefaults) },
  });
}
