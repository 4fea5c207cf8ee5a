import type { z } from 'zod';

/** Maximum number of issues in a description; the others are counted. */
const MAX_ISSUES = 3;

/**
 * Describes why a value does not match its schema, with the path of each rejected field.
 *
 * @param error The error of a failed check.
 * @returns One line of bounded length, even for a value with thousands of issues.
 * @example
 * ```ts
 * const { error } = z.object({ port: z.number() }).safeParse({ port: 'x' });
 * describeIssues(error!); // 'port: Invalid input: expected number, received string'
 * ```
 */
export function describeIssues({ issues }: z.ZodError): string {
  const texts = issues.slice(0, MAX_ISSUES).map(({ path, message }) => {
    const place = path.map(String).join('.');
    return place === '' ? message : `${place}: ${message}`;
  });
  const omitted = issues.length - texts.length;
  return omitted > 0 ? `${texts.join('; ')}; and ${omitted} more` : texts.join('; ');
}
