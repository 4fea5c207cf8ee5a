import { TRPCClientError } from '@trpc/client';

/** What is known of a change that has no verdict, and what the operator does next. */
export interface ChangeFailure {
  outcome: 'not-applied' | 'unknown';
  reason: string;
  next: string;
}

/** Codes of connections that were never opened, so that no byte of the change was sent. */
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
 * Describes why a change has no verdict. Everything that does not certainly exclude an effect is
 * `unknown`: a lost answer, a deadline, an error of the controller.
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
    const next = 'The fleet is unchanged and stays so. Apply the same files again.';
    return { outcome: 'not-applied', reason, next };
  }
  const next =
    `The change may have taken effect, or may still do so. Do not apply another one yet. Wait until ` +
    `"rollout" answers, then run the same apply with --dry-run: without operations it was applied. ` +
    `If operations are left while the revision is still ${revision} after a minute, apply again; ` +
    `with --revision ${revision} a change that took effect meanwhile is refused, not repeated.`;
  return { outcome: 'unknown', reason, next };
}
