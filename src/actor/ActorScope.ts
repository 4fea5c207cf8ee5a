import { start, stop, type Ref } from 'nact';
import type { Metrics } from '../metrics/mod.js';
import type { EventInput, Timeline } from '../timeline/mod.js';

/** Receives the error of a message handler that failed. */
export type ErrorHandler = (actor: string, error: Error) => void;

/** Options of a scope. */
export interface ActorScopeOptions {
  /** Where the actors record their events. */
  timeline?: Timeline;
  /** Where the actors record latencies and counts. */
  metrics?: Metrics;
}

/**
 * The parent of a group of actors, for example of all actors of one daemon.
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

  constructor(name: string, onFault: ErrorHandler, options: ActorScopeOptions = {}) {
    this.#system = start(name);
    this.#onError = onFault;
    this.#timeline = options.timeline;
    this.#metrics = options.metrics;
  }

  /** The reference under which `Actor` spawns its mailbox. */
  get parent(): Ref<never> {
    return this.#system;
  }

  /** Reports the failure of a message handler. */
  reportError(actor: string, error: Error): void {
    this.#onError(actor, error);
  }

  /** Records an event of the daemon; undefined when the scope has no time line. */
  recordEvent(event: EventInput): number | undefined {
    return this.#timeline?.record(event);
  }

  /** Records a duration in milliseconds. */
  recordLatency(name: string, ms: number): void {
    this.#metrics?.recordLatency(name, ms);
  }

  /** Increases a counter of the daemon. */
  increaseCounter(name: string, by = 1): void {
    this.#metrics?.increase(name, by);
  }

  /** Stops every actor of the scope; messages still queued are dropped. */
  close(): void {
    stop(this.#system);
  }
}
