import { start, stop, type Ref } from 'nact';

/** Receives the error of a message handler that failed. */
export type FaultHandler = (actor: string, error: Error) => void;

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

  readonly #onFault: FaultHandler;

  constructor(name: string, onFault: FaultHandler) {
    this.#system = start(name);
    this.#onFault = onFault;
  }

  /** The reference under which `Actor` spawns its mailbox. */
  get parent(): Ref<never> {
    return this.#system;
  }

  /** Reports the failure of a message handler. */
  reportFault(actor: string, error: Error): void {
    this.#onFault(actor, error);
  }

  /** Stops every actor of the scope; messages still queued are dropped. */
  close(): void {
    stop(this.#system);
  }
}
