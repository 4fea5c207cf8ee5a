import { readFileSync } from 'node:fs';
import type { Finding } from '../finding/mod.js';
import { checkDocument } from './checkDocument.js';
import { checkDocuments } from './checkDocuments.js';
import { DocumentSource } from './DocumentSource.js';
import { FleetDocument } from './FleetDocument.js';
import type { LoadedDocument } from './LoadedDocument.js';
import { Settings } from './Settings.js';

/** Documents that agree with their schemas, and the findings of all of them. */
export interface LoadResult {
  documents: LoadedDocument[];
  findings: Finding[];
}

/**
 * Loads one document; a document with the key `role` is a settings file, any other one an
 * inventory, rules, or both.
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
 * Loads files and checks each by itself and all against each other.
 *
 * Checks between files run only when every file agrees with its schema, since a broken file would
 * make the references to its objects look wrong.
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
