import { ActorScope, type FaultHandler } from '../actor/mod.js';
import { FairPolicy, FifoPolicy } from '../admission/mod.js';
import { UnclaimedPolicy } from '../claim/mod.js';
import { SystemClock } from '../clock/mod.js';
import { ControllerRecordSource } from '../controller/mod.js';
import { FleetFollower, FleetKeeper } from '../fleet/mod.js';
import { UnavailableForwarder } from '../link/mod.js';
import { Metrics } from '../metrics/mod.js';
import type { GatewaySettings } from '../settings/mod.js';
import { Timeline } from '../timeline/mod.js';
import { GatewayListener } from './GatewayListener.js';
import type { GatewayParts } from './GatewayParts.js';
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

  #closed: Promise<void> | undefined;

  constructor(settings: GatewaySettings, onFault: FaultHandler, parts: Partial<GatewayParts> = {}) {
    this.#settings = settings;
    this.#scope = new ActorScope('gateway', onFault);
    this.#keeper = new FleetKeeper(this.#scope);
    const sources = settings.controllers.map((address) => new ControllerRecordSource(address));
    this.#follower = new FleetFollower(this.#scope, this.#keeper, sources);
    const clock = new SystemClock();
    this.#listener = new GatewayListener(this.#scope, {
      clock,
      claims: new UnclaimedPolicy(),
      forwarder: new UnavailableForwarder(),
      timeline: new Timeline(`gateway ${settings.address}`, { clock }),
      metrics: new Metrics(),
      createPolicy: () => (settings.admission === 'fifo' ? new FifoPolicy() : new FairPolicy()),
      ...parts,
    });
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

  /** Stops gracefully: no request in flight is cut off within the stop bound. */
  close(): Promise<void> {
    this.#closed ??= this.#stop();
    return this.#closed;
  }

  async #stop(): Promise<void> {
    await this.#listener.stop(this.#settings.stopNoticeMs);
    await this.#listener.close();
    await this.#follower.close();
    this.#keeper.close();
    this.#scope.close();
  }
}
