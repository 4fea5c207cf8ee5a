import type { z } from 'zod';
import { FindingsError } from '../finding/mod.js';
import { checkDocument } from './checkDocument.js';
import { DocumentSource } from './DocumentSource.js';

/**
 * Parses a document in JSON with comments and checks it against a schema.
 *
 * @param text Text of the document.
 * @param schema Schema that the document must match.
 * @param file File name used in findings.
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
  const { value, findings } = checkDocument(new DocumentSource(text, file), schema);
  if (value === undefined) throw new FindingsError(file, findings);
  return value;
}
