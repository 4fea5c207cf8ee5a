import type { z } from 'zod';
import type { Finding } from '../finding/mod.js';
import type { DocumentPath, DocumentSource } from './DocumentSource.js';

/** Result of checking a document against a schema: its value, or the reasons for rejecting it. */
export type CheckedDocument<T> =
  { value: T; findings: Finding[] } | { value: undefined; findings: Finding[] };

function convertIssue(source: DocumentSource, issue: z.core.$ZodIssue): Finding[] {
  const path = issue.path as DocumentPath;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      severity: 'error',
      message: `unknown key "${key}"`,
      place: source.locateKey([...path, key]),
    }));
  }
  return [{ severity: 'error', message: issue.message, place: source.locate(path) }];
}

/**
 * Checks a document against a schema and collects every finding with its place.
 *
 * @example
 * ```ts
 * const { findings } = checkDocument(new DocumentSource('{ "nam": "x" }', 'team.jsonc'), Team);
 * findings.length; // 1: the name is missing
 * ```
 */
export function checkDocument<Schema extends z.ZodType>(
  source: DocumentSource,
  schema: Schema,
): CheckedDocument<z.infer<Schema>> {
  const syntax = source.checkSyntax();
  if (syntax.length > 0) return { value: undefined, findings: syntax };
  const result = schema.safeParse(source.value);
  if (result.success) return { value: result.data, findings: [] };
  const findings = result.error.issues.flatMap((issue) => convertIssue(source, issue));
  return { value: undefined, findings };
}
