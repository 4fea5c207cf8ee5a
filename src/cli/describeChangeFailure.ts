import { TRPCClientError } from '@trpc/client';

/** Known outcome of a change without a verdict, and what the operator should do next. */
export interface ChangeFailure {
  outcome: 'not-applied' | 'unknown';
  reason: string;
  next: string;
}

/** Error codes of connections that were never opened, so that nothing of the change was sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

function listCauses(error: unknown): { code?: string; message: string }[] {
  if (!(error instanceof Error)) return [];
  const { message, cause } = error;
  const { code } = error as { code?: string };
  return [{ message, ...(code !== undefined && { code }) }, ...listCauses(cause)];
}

function isNotApplied(error: unknown): boolean {
  const data: { name?: string; code?: string } =
    error instanceof TRPCClientError ? (error.data ?? {}) : {};
  if (data.name === 'NotAppliedError' || data.code === 'BAD_REQUEST') return true;
  return listCauses(error).some(({ code = '' }) => UNSENT_CODES.has(code));
}

/**
 * Describes why a change has no verdict. The outcome is `unknown` unless the error proves that the
 * change was not applied, for example after a lost answer, a timeout or a controller error.
 *
 * @param revision Revision of the fleet before the change.
 * @example
 * ```ts
 * describeChangeFailure(error, 41).outcome; // 'unknown'
 * ```
 */
export function describeChangeFailure(error: unknown, revision: number): ChangeFailure {
  const reason = listCauses(error)
    .map(({ message }) => message)
    .join(': ')
    .replace(/^(not applied|outcome unknown): /, '');
  if (isNotApplied(error)) {
    const next = 'The change was not applied and will not be. Apply the same files again.';
    return { outcome: 'not-applied', reason, next };
  }
  const next =
    `The change may have taken effect, or may still do so. Do not apply another one yet. Wait until ` +
    `"rollout" answers, then run the same apply with --dry-run: no operations means it was applied. ` +
    `If operations remain and the revision is still ${revision} after a minute, apply again with ` +
    `--revision ${revision}: if the first change took effect meanwhile, the second is rejected.`;
  return { outcome: 'unknown', reason, next };
}
