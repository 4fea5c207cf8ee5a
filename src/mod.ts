/**
 * buckthornreach as a library: the daemons are thin over what is exported here.
 *
 * @module
 */
export * from './actor/mod.js';
export * from './admission/mod.js';
export * from './claim/mod.js';
export * from './clock/mod.js';
export * from './contract/mod.js';
export * from './controller/mod.js';
export * from './dataCentre/mod.js';
export * from './finding/mod.js';
export * from './fleet/mod.js';
export * from './gateway/mod.js';
export * from './host/mod.js';
export * from './job/mod.js';
export * from './link/mod.js';
export * from './log/mod.js';
export * from './logging/mod.js';
export * from './metrics/mod.js';
export * from './observation/mod.js';
export * from './pool/mod.js';
export * from './rack/mod.js';
export * from './record/mod.js';
export * from './service/mod.js';
export * from './session/mod.js';
export * from './settings/mod.js';
export * from './team/mod.js';
export * from './timeline/mod.js';
export * from './wave/mod.js';
