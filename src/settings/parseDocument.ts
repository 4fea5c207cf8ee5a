import type { z } from 'zod';
import { FindingsError } from '../finding/mod.js';
import { checkDocument } from './checkDocument.js';
import { DocumentSource } from './DocumentSource.js';

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
  const { value, findings } = checkDocument(new DocumentSource(text, file), schema);
  if (value === undefined) throw new FindingsError(file, findings);
  return value;
}
