import {
  HostOrders,
  type HoldResponse,
  type HoldOrder,
  type HostTarget,
  type OrderResponse,
  type StartOrder,
  type StopOrder,
} from '../port/mod.js';
import type { EmulatedFleet } from './EmulatedFleet.js';

/** A node's client for orders to emulated hosts. */
export class HostConnection extends HostOrders {
  readonly #fleet: EmulatedFleet;

  constructor(fleet: EmulatedFleet) {
    super();
    this.#fleet = fleet;
  }

  override startRun(target: HostTarget, order: StartOrder): Promise<OrderResponse> {
    return this.#fleet.order(target, (host) => host.start(order));
  }

  override stopRun(target: HostTarget, order: StopOrder): Promise<OrderResponse> {
    return this.#fleet.order(target, (host) => host.stop(order));
  }

  override paceRun(target: HostTarget): Promise<OrderResponse> {
    return this.#fleet.order(target, (host) => ({ type: 'done', clockMs: host.clockMs }));
  }

  override hold(target: HostTarget, order: HoldOrder): Promise<HoldResponse> {
    return this.#fleet.hold(target, order);
  }

  override checkHealth(target: HostTarget): Promise<boolean> {
    return this.#fleet.checkHealth(target);
  }

  override closeConnections(): void {
    // Emulated hosts have no connections.
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
