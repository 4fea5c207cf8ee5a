/**
 * Settings and other documents in JSON with comments.
 *
 * @module
 */
export * from './ControllerSettings.js';
export * from './GatewaySettings.js';
export * from './parseDocument.js';
export * from './Settings.js';
