/**
 * Actors: tasks that own their state and sockets and communicate through typed messages.
 *
 * @module
 */
export * from './Actor.js';
export * from './ActorScope.js';
