/**
 * Gateway sessions: membership views, slot shares, and the session life cycle.
 *
 * @module
 */
export * from './collectShareViews.js';
export * from './computeSlotShare.js';
export * from './computeWeight.js';
export * from './ControllerAppender.js';
export * from './DispatcherLoad.js';
export * from './Heartbeat.js';
export * from './PauseDetector.js';
export * from './RecordAppender.js';
export * from './SessionKeeper.js';
export * from './SessionLifecycle.js';
export * from './SessionView.js';
export * from './SessionViewProjector.js';
export * from './sortByWeight.js';
