import { Actor } from '../actor/mod.js';
import { WorkLogKey } from '../workLog/mod.js';
import type { NodeContext } from './NodeContext.js';
import type { WorkLogWriter, WriteOutcome } from './WorkLogWriter.js';

/** Delay in ms before a registration that was not stored is repeated. */
const REPEAT_DELAY_MS = 400;

/** Messages of a `Registration`. */
export type RegistrationMessage =
  | { type: 'register'; address: string }
  | { type: 'repeat' }
  | { type: 'outcome'; outcome: WriteOutcome };

/**
 * Registers the node in the work log, and repeats the write until it is stored.
 *
 * Other nodes rely on the registration: they ask the node for its contact with the store, and tell
 * by the session whether the process of an owner has ended.
 *
 * @example
 * ```ts
 * const registration = new Registration(context, writer);
 * registration.send({ type: 'register', address: '10.0.0.1:7000' });
 * ```
 */
export class Registration extends Actor<RegistrationMessage> {
  readonly #context: NodeContext;

  readonly #writer: WorkLogWriter;

  #address = '';

  #attempts = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(context: NodeContext, writer: WorkLogWriter) {
    super(context.scope, 'registration');
    this.#context = context;
    this.#writer = writer;
  }

  protected override receive(message: RegistrationMessage): void {
    switch (message.type) {
      case 'register':
        this.#address = message.address;
        this.#write();
        break;
      case 'repeat':
        this.#write();
        break;
      default:
        if (message.outcome === 'stored') {
          const { name } = this.#context.settings;
          this.#context.log.record('registered', name, { attempts: this.#attempts });
        } else {
          this.#timer = setTimeout(() => this.send({ type: 'repeat' }), REPEAT_DELAY_MS);
        }
    }
  }

  override close(): void {
    clearTimeout(this.#timer);
    super.close();
  }

  #write(): void {
    this.#attempts += 1;
    const { settings, session } = this.#context;
    const { name, dataCentre, cores } = settings;
    const value = JSON.stringify({ session, address: this.#address, dataCentre, cores });
    this.#writer.send({
      type: 'write',
      record: { key: WorkLogKey.node(name), value },
      deadline: Infinity,
      reply: (outcome) => this.send({ type: 'outcome', outcome }),
    });
  }
}
