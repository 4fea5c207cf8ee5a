import { readFileSync } from 'node:fs';
import type { Finding } from '../finding/mod.js';
import { checkDocument } from './checkDocument.js';
import { checkDocuments } from './checkDocuments.js';
import { DocumentSource } from './DocumentSource.js';
import { FleetDocument } from './FleetDocument.js';
import type { LoadedDocument } from './LoadedDocument.js';
import { Settings } from './Settings.js';

/** Documents that match their schemas, and the findings of all files. */
export interface LoadResult {
  documents: LoadedDocument[];
  findings: Finding[];
}

/**
 * Loads one document. A document with the key `role` is a settings file. Any other document
 * contains an inventory, rules, or both.
 *
 * @example
 * ```ts
 * loadDocument(new DocumentSource('{ "pools": [] }', 'rules.jsonc')).findings; // []
 * ```
 */
export function loadDocument(source: DocumentSource): LoadResult {
  const { value } = source;
  if (typeof value === 'object' && value !== null && 'role' in value) {
    const settings = checkDocument(source, Settings);
    if (settings.value === undefined) return { documents: [], findings: settings.findings };
    return { documents: [{ kind: 'settings', source, value: settings.value }], findings: [] };
  }
  const fleet = checkDocument(source, FleetDocument);
  if (fleet.value === undefined) return { documents: [], findings: fleet.findings };
  return { documents: [{ kind: 'fleet', source, value: fleet.value }], findings: [] };
}

function loadFile(file: string): LoadResult {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const { message } = error as Error;
    return { documents: [], findings: [{ severity: 'error', message, place: { file, path: '' } }] };
  }
  return loadDocument(new DocumentSource(text, file));
}

/**
 * Loads files and checks each of them and all against each other.
 *
 * Checks across files run only if every file matches its schema, since references to the objects of
 * an invalid file would be reported as unknown.
 *
 * @example
 * ```ts
 * const { documents, findings } = loadDocuments(['inventory.jsonc', 'rules.jsonc']);
 * ```
 */
export function loadDocuments(files: readonly string[]): LoadResult {
  const results = files.map(loadFile);
  const documents = results.flatMap((one) => one.documents);
  const findings = results.flatMap((one) => one.findings);
  if (findings.length > 0) return { documents, findings };
  return { documents, findings: checkDocuments(documents) };
}
