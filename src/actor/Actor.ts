import { dispatch, query, spawn, stop } from 'nact';
import type { ActorProps, Ref, SupervisionActorFunc } from 'nact';
import type { ActorScope } from './ActorScope.js';

let spawnedCount = 0;

/**
 * A task that owns its state and sockets and processes the messages of its mailbox one at a time.
 *
 * Subclasses keep their state in private fields and change it only in `receive`. When a handler
 * throws, the error is reported to the scope and the actor continues with the next message: an actor
 * that stopped silently would leave its sockets open and its callers waiting for a reply.
 *
 * @example
 * ```ts
 * class Counter extends Actor<{ type: 'add'; by: number }> {
 *   #total = 0;
 *   protected override receive(message: { type: 'add'; by: number }): void {
 *     this.#total += message.by;
 *   }
 * }
 * ```
 */
export abstract class Actor<Message> {
  readonly #ref: Ref<Message>;

  readonly #scope: ActorScope;

  readonly #name: string;

  #closed = false;

  constructor(scope: ActorScope, name: string) {
    spawnedCount += 1;
    this.#name = name;
    this.#scope = scope;
    const onCrash: SupervisionActorFunc<Message, Ref<never>, Ref<never>> = (
      _message,
      error,
      ctx,
    ) => {
      scope.reportError(name, error ?? new Error('message handler failed without an error'));
      return ctx.resume;
    };
    const handle = async (state: null, message: Message): Promise<null> => {
      if (!this.#closed) await this.receive(message);
      return state;
    };
    const properties: ActorProps<null, Message, Ref<never>> = { initialState: null, onCrash };
    // nact rejects a second child with the same name, so a counter is appended.
    const uniqueName = `${name.replace(/[^\w-]/g, '_')}-${spawnedCount}`;
    this.#ref = spawn(scope.parent, handle, uniqueName, properties);
  }

  get name(): string {
    return this.#name;
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  protected get scope(): ActorScope {
    return this.#scope;
  }

  /** Handles one message. The next one is processed after the returned promise settles. */
  protected abstract receive(message: Message): void | Promise<void>;

  /** Enqueues a message; a closed actor drops it. */
  send(message: Message): void {
    if (!this.#closed) dispatch(this.#ref, message);
  }

  /**
   * Sends a message that carries a reply function and waits for the reply.
   *
   * @param build Builds the message around the reply function.
   * @param timeoutMs The returned promise rejects if no reply arrives within this time.
   */
  ask<Reply>(build: (reply: (value: Reply) => void) => Message, timeoutMs = 5_000): Promise<Reply> {
    const toMessage = (ref: Ref<Reply>): Message => build((value) => dispatch(ref, value));
    return query<Message, (ref: Ref<Reply>) => Message>(this.#ref, toMessage, timeoutMs);
  }

  /** Stops the mailbox. Overrides release their sockets and timers before they call this. */
  close(): void | Promise<void> {
    this.#closed = true;
    stop(this.#ref);
  }
}
