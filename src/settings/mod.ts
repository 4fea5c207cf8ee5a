/**
 * Settings, inventory and rules files in JSON with comments.
 *
 * @module
 */
export * from './checkDocument.js';
export * from './checkDocuments.js';
export * from './ControllerSettings.js';
export * from './DocumentSource.js';
export * from './FleetDocument.js';
export * from './GatewaySettings.js';
export * from './loadDocuments.js';
export * from './LoadedDocument.js';
export * from './LogLevel.js';
export * from './mergeDocuments.js';
export * from './parseDocument.js';
export * from './requireStrict.js';
export * from './Settings.js';
