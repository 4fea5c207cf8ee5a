/**
 * Ports to the platform: abstract classes that an adapter implements, and the types they exchange.
 *
 * @module
 */
export * from './AdviceService.js';
export * from './Configuration.js';
export * from './HostEntry.js';
export * from './HostOrders.js';
export * from './MachineProvider.js';
export * from './OperatorRecord.js';
export * from './OrderUnansweredError.js';
export * from './OrderUnsentError.js';
export * from './RecordDecoder.js';
export * from './Store.js';
export * from './StoreLimits.js';
export * from './StoreRefusedError.js';
export * from './StoreUnansweredError.js';
export * from './measureRecord.js';
