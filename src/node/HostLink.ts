import { Actor } from '../actor/mod.js';
import {
  OrderUnansweredError,
  OrderUnsentError,
  type HoldResponse,
  type HoldOrder,
  type HostTarget,
  type OrderResponse,
} from '../port/mod.js';
import type { OrderOutcome } from '../schedule/RunTracker.js';
import type { NodeContext } from './NodeContext.js';

/** Result of a hold. */
export type HoldOutcome = HoldResponse | { type: 'failed'; error: Error };

/** Whether the host reported that it is healthy; undefined if it did not respond. */
export type HealthCheckResult = boolean | undefined;

/** Messages of a `HostLink`. */
export type HostLinkMessage =
  /** A host that has restarted under its identifier may have another address. */
  | { type: 'set-target'; target: HostTarget }
  | { type: 'check-health'; path: string; reply: (isWell: HealthCheckResult) => void }
  | { type: 'hold'; order: HoldOrder; reply: (outcome: HoldOutcome) => void }
  | {
      type: 'order';
      send: (target: HostTarget) => Promise<OrderResponse>;
      reply: (outcome: OrderOutcome) => void;
    };

/** Link to a host: owns the connections and sends holds and orders over them. */
export class HostLink extends Actor<HostLinkMessage> {
  readonly #context: NodeContext;

  #target: HostTarget;

  constructor(context: NodeContext, target: HostTarget) {
    super(context.scope, `host-${target.id}`);
    this.#context = context;
    this.#target = target;
  }

  protected override receive(message: HostLinkMessage): void {
    // Responses are not awaited here, since an order must not wait for a long-polling hold.
    if (message.type === 'set-target') this.#setTarget(message.target);
    else if (message.type === 'hold') this.#hold(message.order).then(message.reply);
    else if (message.type === 'check-health') this.#checkHealth(message.path).then(message.reply);
    else this.#order(message.send).then(message.reply);
  }

  override close(): void {
    this.#context.hosts.closeConnections(this.#target);
    super.close();
  }

  #setTarget(target: HostTarget): void {
    this.#context.hosts.closeConnections(this.#target);
    this.#target = target;
  }

  async #hold(order: HoldOrder): Promise<HoldOutcome> {
    try {
      return await this.#context.hosts.hold(this.#target, order);
    } catch (error) {
      return { type: 'failed', error: error instanceof Error ? error : new Error(String(error)) };
    }
  }

  async #checkHealth(path: string): Promise<HealthCheckResult> {
    try {
      return await this.#context.hosts.checkHealth(this.#target, path);
    } catch (error) {
      this.#reportUnexpected(error);
      return undefined;
    }
  }

  async #order(send: (target: HostTarget) => Promise<OrderResponse>): Promise<OrderOutcome> {
    try {
      return await send(this.#target);
    } catch (error) {
      if (error instanceof OrderUnsentError) return { type: 'unsent' };
      // After an unexpected error it is not known whether the order was sent.
      this.#reportUnexpected(error);
      return { type: 'unanswered' };
    }
  }

  /** Reports an error that does not tell whether a call was sent or answered. */
  #reportUnexpected(error: unknown): void {
    if (error instanceof OrderUnsentError || error instanceof OrderUnansweredError) return;
    this.scope.reportError(this.name, error instanceof Error ? error : new Error(String(error)));
  }
}
