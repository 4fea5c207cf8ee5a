import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import type { z } from 'zod';
import { FindingsError, type Finding, type Place } from '../finding/mod.js';

type Path = (string | number)[];

function describePosition(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}

/**
 * Parses a document in JSON with comments and checks it against a schema.
 *
 * @param text The document.
 * @param schema What it must look like.
 * @param file Name for the findings.
 * @throws `FindingsError` with every finding and its place.
 * @example
 * ```ts
 * const pool = parseDocument('{ "name": "billing", "need": 3 } // spare', Pool, 'pool.jsonc');
 * ```
 */
export function parseDocument<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  file: string,
): z.infer<Schema> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  const findings: Finding[] = errors.map((error) => ({
    severity: 'error',
    message: printParseErrorCode(error.error),
    place: { file, path: '', ...describePosition(text, error.offset) },
  }));
  if (tree === undefined || findings.length > 0) {
    throw new FindingsError(file, findings);
  }
  const locate = (path: Path): Place => {
    // A missing member has no node of its own: the place is that of the nearest parent.
    for (let { length } = path; length >= 0; length -= 1) {
      const node = findNodeAtLocation(tree, path.slice(0, length));
      if (node) return { file, path: path.join('.'), ...describePosition(text, node.offset) };
    }
    return { file, path: path.join('.') };
  };
  const result = schema.safeParse(getNodeValue(tree));
  if (result.success) return result.data;
  result.error.issues.forEach((issue) => {
    findings.push({
      severity: 'error',
      message: issue.message,
      place: locate(issue.path as Path),
    });
  });
  throw new FindingsError(file, findings);
}
