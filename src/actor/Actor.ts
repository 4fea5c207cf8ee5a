import { dispatch, query, spawn, stop } from 'nact';
import type { ActorProps, Ref, SupervisionActorFunc } from 'nact';
import type { ActorScope } from './ActorScope.js';

let spawnedCount = 0;

/**
 * A task with a mailbox that owns its state and its sockets; it handles one message at a time.
 *
 * Subclasses keep their state in private fields and change it only in `receive`. A handler that
 * throws is reported to the scope and the actor goes on with the next message, since an actor that
 * stops silently would leave its sockets open and its callers waiting.
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
      scope.reportError(name, error ?? new Error('unknown failure of a message handler'));
      return ctx.resume;
    };
    const handle = async (state: null, message: Message): Promise<null> => {
      if (!this.#closed) await this.receive(message);
      return state;
    };
    const properties: ActorProps<null, Message, Ref<never>> = { initialState: null, onCrash };
    // Names are made unique, because nact refuses a second child of the same name.
    const unique = `${name.replace(/[^\w-]/g, '_')}-${spawnedCount}`;
    this.#ref = spawn(scope.parent, handle, unique, properties);
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

  /** Handles one message. The next message waits until the returned promise settles. */
  protected abstract receive(message: Message): void | Promise<void>;

  /** Puts a message into the mailbox; a closed actor drops it. */
  send(message: Message): void {
    if (!this.#closed) dispatch(this.#ref, message);
  }

  /**
   * Sends a message that carries a reply function and waits for the reply.
   *
   * @param build Makes the message from the reply function.
   * @param timeoutMs Rejects when no reply came in this time.
   */
  ask<Reply>(build: (reply: (value: Reply) => void) => Message, timeoutMs = 5_000): Promise<Reply> {
    const toMessage = (ref: Ref<Reply>): Message => build((value) => dispatch(ref, value));
    return query<Message, (ref: Ref<Reply>) => Message>(this.#ref, toMessage, timeoutMs);
  }

  /** Stops the mailbox. Subclasses release their sockets and timers first. */
  close(): void | Promise<void> {
    this.#closed = true;
    stop(this.#ref);
  }
}
