import { createHTTPServer } from '@trpc/server/adapters/standalone';
import { ActorScope, type FaultHandler } from '../actor/mod.js';
import { SystemClock } from '../clock/mod.js';
import { SpreadPlacement } from '../contract/mod.js';
import { FleetFollower, FleetKeeper } from '../fleet/mod.js';
import { HttpLogClient, LogRecordSource, LogWriter } from '../log/mod.js';
import { closeServer, openServer } from '../net/mod.js';
import type { ControllerSettings } from '../settings/mod.js';
import { ControllerApi } from './ControllerApi.js';
import { ControllerPlanner } from './ControllerPlanner.js';
import { ControllerRecordSource } from './ControllerRecordSource.js';
import { controllerRouter } from './ControllerRouter.js';
import { HttpMaintenanceActions } from './HttpMaintenanceActions.js';
import { MaintenanceRunner } from './MaintenanceRunner.js';

type HttpServer = ReturnType<typeof createHTTPServer>;

/**
 * A controller: follows the log, decides about the fleet and serves its state.
 *
 * @example
 * ```ts
 * const controller = new Controller(settings, onFault);
 * const address = await controller.open();
 * await controller.close();
 * ```
 */
export class Controller {
  readonly #settings: ControllerSettings;

  readonly #scope: ActorScope;

  readonly #keeper: FleetKeeper;

  readonly #follower: FleetFollower;

  readonly #writer: LogWriter;

  readonly #runner: MaintenanceRunner;

  readonly #planner: ControllerPlanner;

  readonly #writeClient: HttpLogClient;

  readonly #server: HttpServer;

  constructor(settings: ControllerSettings, onFault: FaultHandler) {
    this.#settings = settings;
    this.#scope = new ActorScope('controller', onFault);
    this.#keeper = new FleetKeeper(this.#scope);
    this.#writeClient = new HttpLogClient(settings.platform);
    this.#writer = new LogWriter(this.#scope, this.#writeClient);
    this.#follower = new FleetFollower(this.#scope, this.#keeper, [
      new LogRecordSource(new HttpLogClient(settings.platform)),
      ...settings.peers.map((peer) => new ControllerRecordSource(peer)),
    ]);
    this.#runner = new MaintenanceRunner(
      this.#scope,
      new HttpMaintenanceActions(settings.platform),
    );
    this.#planner = new ControllerPlanner(this.#scope, {
      keeper: this.#keeper,
      writer: this.#writer,
      runner: this.#runner,
      clock: new SystemClock(),
      policy: new SpreadPlacement(),
    });
    const api = new ControllerApi(this.#keeper, this.#writer);
    this.#server = createHTTPServer({ router: controllerRouter, createContext: () => ({ api }) });
  }

  /** Opens the API and returns its address. */
  async open(): Promise<string> {
    const address = await openServer(this.#server, this.#settings.address);
    this.#follower.start();
    return address;
  }

  /** Stops the actors and closes the API. */
  async close(): Promise<void> {
    this.#planner.close();
    await this.#runner.close();
    this.#writer.close();
    await this.#follower.close();
    this.#keeper.close();
    await closeServer(this.#server);
    await this.#writeClient.close();
    this.#scope.close();
  }
}
