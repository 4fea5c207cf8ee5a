import { createServer, type Server } from 'node:http';
import { ActorScope, type FaultHandler } from '../actor/mod.js';
import { FairPolicy, FifoPolicy } from '../admission/mod.js';
import { UnclaimedPolicy } from '../claim/mod.js';
import { SystemClock } from '../clock/mod.js';
import { ControllerRecordSource } from '../controller/mod.js';
import { FleetFollower, FleetKeeper, readProcessStatus } from '../fleet/mod.js';
import { UnavailableForwarder } from '../link/mod.js';
import { closeServer, openServer } from '../net/mod.js';
import type { ProcessObserver } from '../observation/mod.js';
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

  /** Serves the system's own processes. */
  readonly #peerServer: Server;

  #peerAddress = '';

  #closed: Promise<void> | undefined;

  constructor(settings: GatewaySettings, onFault: FaultHandler, observer?: ProcessObserver) {
    this.#settings = settings;
    this.#scope = new ActorScope('gateway', onFault, observer);
    this.#keeper = new FleetKeeper(this.#scope);
    const sources = settings.controllers.map((address) => new ControllerRecordSource(address));
    this.#follower = new FleetFollower(this.#scope, this.#keeper, sources);
    this.#listener = new GatewayListener(this.#scope, {
      clock: new SystemClock(),
      claims: new UnclaimedPolicy(),
      forwarder: new UnavailableForwarder(),
      createPolicy: () => (settings.admission === 'fifo' ? new FifoPolicy() : new FairPolicy()),
    });
    this.#peerServer = createServer((request, response) => {
      if (!observer?.answer(request, response)) response.writeHead(404).end();
    });
    observer?.setStatusReader(() =>
      readProcessStatus({
        keeper: this.#keeper,
        follower: this.#follower,
        session: observer.process,
        role: settings.role,
        dataCentre: settings.dataCentre,
      }),
    );
  }

  /** Where other processes reach it; empty before it is open. */
  get peerAddress(): string {
    return this.#peerAddress;
  }

  /** Opens the server for callers and returns its address. */
  async open(): Promise<string> {
    const projector = new GatewayViewProjector(this.#settings.dataCentre, (view) =>
      this.#listener.send({ type: 'view', view }),
    );
    this.#keeper.send({ type: 'subscribe', projector });
    this.#follower.start();
    this.#peerAddress = await openServer(this.#peerServer, this.#settings.peerAddress);
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
    await closeServer(this.#peerServer);
    await this.#follower.close();
    this.#keeper.close();
    this.#scope.close();
  }
}
