import { ActorScope, type FaultHandler } from '../actor/mod.js';
import { SystemClock } from '../clock/mod.js';
import { ControllerRecordSource } from '../controller/mod.js';
import { FleetFollower, FleetKeeper } from '../fleet/mod.js';
import type { GatewaySettings } from '../settings/mod.js';
import { GatewayListener } from './GatewayListener.js';
import { GatewayViewProjector } from './GatewayView.js';

/**
 * A gateway: follows a controller and serves callers.
 *
 * @example
 * ```ts
 * const gateway = new Gateway(settings, onFault);
 * const address = await gateway.open();
 * await gateway.close();
 * ```
 */
export class Gateway {
  readonly #settings: GatewaySettings;

  readonly #scope: ActorScope;

  readonly #keeper: FleetKeeper;

  readonly #follower: FleetFollower;

  readonly #listener: GatewayListener;

  constructor(settings: GatewaySettings, onFault: FaultHandler) {
    this.#settings = settings;
    this.#scope = new ActorScope('gateway', onFault);
    this.#keeper = new FleetKeeper(this.#scope);
    const sources = settings.controllers.map((address) => new ControllerRecordSource(address));
    this.#follower = new FleetFollower(this.#scope, this.#keeper, sources);
    this.#listener = new GatewayListener(this.#scope, new SystemClock());
  }

  /** Opens the server for callers and returns its address. */
  async open(): Promise<string> {
    const projector = new GatewayViewProjector(this.#settings.dataCentre, (view) =>
      this.#listener.send({ type: 'view', view }),
    );
    this.#keeper.send({ type: 'subscribe', projector });
    this.#follower.start();
    return this.#listener.open(this.#settings.address);
  }

  /** Closes the server and the links. */
  async close(): Promise<void> {
    await this.#listener.close();
    await this.#follower.close();
    this.#keeper.close();
    this.#scope.close();
  }
}
