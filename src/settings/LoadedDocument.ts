import type { DocumentSource } from './DocumentSource.js';
import type { FleetDocument } from './FleetDocument.js';
import type { Settings } from './Settings.js';

/** A document of operators that agrees with its schema, with its source for the places. */
export type LoadedDocument =
  | { kind: 'fleet'; source: DocumentSource; value: FleetDocument }
  | { kind: 'settings'; source: DocumentSource; value: Settings };
