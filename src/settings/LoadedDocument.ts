import type { DocumentSource } from './DocumentSource.js';
import type { FleetDocument } from './FleetDocument.js';
import type { Settings } from './Settings.js';

/** A document that matches its schema, with its source to locate findings. */
export type LoadedDocument =
  | { kind: 'fleet'; source: DocumentSource; value: FleetDocument }
  | { kind: 'settings'; source: DocumentSource; value: Settings };
