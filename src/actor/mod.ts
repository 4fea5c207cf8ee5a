/**
 * Actors: tasks that own their state and sockets and talk by typed messages.
 *
 * @module
 */
export * from './Actor.js';
export * from './ActorScope.js';
