import { start, stop, type Ref } from 'nact';
import type { Metrics } from '../metrics/mod.js';
import type { EventInput, Timeline } from '../timeline/mod.js';

/** Called with the error of a failed message handler and the name of its actor. */
export type ErrorHandler = (actor: string, error: Error) => void;

/** Options of an `ActorScope`. */
export interface ActorScopeOptions {
  /** Receives the events of the actors. */
  timeline?: Timeline;
  /** Receives the latencies and counters of the actors. */
  metrics?: Metrics;
}

/**
 * The parent of a group of actors, such as all actors of one daemon.
 *
 * @example
 * ```ts
 * const scope = new ActorScope('gateway', (actor, error) => logger.error(actor, error));
 * // ... create actors with this scope
 * scope.close();
 * ```
 */
export class ActorScope {
  readonly #system: Ref<never>;

  readonly #onError: ErrorHandler;

  readonly #timeline: Timeline | undefined;

  readonly #metrics: Metrics | undefined;

  constructor(name: string, onError: ErrorHandler, options: ActorScopeOptions = {}) {
    this.#system = start(name);
    this.#onError = onError;
    this.#timeline = options.timeline;
    this.#metrics = options.metrics;
  }

  /** Parent reference under which `Actor` spawns its mailbox. */
  get parent(): Ref<never> {
    return this.#system;
  }

  /** Reports an error thrown by a message handler. */
  reportError(actor: string, error: Error): void {
    this.#onError(actor, error);
  }

  /** Records an event and returns its id; undefined if the scope has no timeline. */
  recordEvent(event: EventInput): number | undefined {
    return this.#timeline?.record(event);
  }

  /** Records a latency in milliseconds. */
  recordLatency(name: string, ms: number): void {
    this.#metrics?.recordLatency(name, ms);
  }

  /** Increments a counter. */
  increaseCounter(name: string, by = 1): void {
    this.#metrics?.increase(name, by);
  }

  /** Stops every actor of the scope; queued messages are dropped. */
  close(): void {
    stop(this.#system);
  }
}
