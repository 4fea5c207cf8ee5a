import { randomUUID } from 'node:crypto';
import { setTimeout } from 'node:timers/promises';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import { ActorScope, type ErrorHandler } from '../actor/mod.js';
import { SystemClock } from '../clock/mod.js';
import { SpreadPlacement, SustainedShortageLending } from '../contract/mod.js';
import { FleetFollower, FleetReplica, type FollowerStatus } from '../fleet/mod.js';
import { HttpLogClient, LogRecordSource, LogWriter, type LogSubmitResult } from '../log/mod.js';
import type { ProcessObserver } from '../observation/mod.js';
import { closeServer, openServer } from '../net/mod.js';
import type { RecordBody } from '../record/mod.js';
import type { ControllerSettings } from '../settings/mod.js';
import { CheckpointKeeper } from './CheckpointKeeper.js';
import { ControllerApi } from './ControllerApi.js';
import { ControllerPeers } from './ControllerPeers.js';
import { ControllerPlanner } from './ControllerPlanner.js';
import { ControllerRecordSource } from './ControllerRecordSource.js';
import { controllerRouter } from './ControllerRouter.js';
import { DemandWatcher } from './DemandWatcher.js';
import { HttpHostListClient } from './HttpHostListClient.js';
import { HostWatcher } from './HostWatcher.js';
import { HttpMaintenanceActions } from './HttpMaintenanceActions.js';
import { MaintenanceRunner } from './MaintenanceRunner.js';
import { registerEndpoints } from './_registerEndpoints.js';
import { SequenceProjector } from './_SequenceProjector.js';

/** How long a planned stop waits for the log to accept the end of the session. */
const SESSION_END_TIMEOUT_MS = 1_000;
const INITIAL_READ_TIMEOUT_MS = 1_500;
const INITIAL_READ_INTERVAL_MS = 20;

/** Longer than the intervals of probes and polls, so that they can reuse their connections. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;

type HttpServer = ReturnType<typeof createHTTPServer>;

/**
 * A controller process: follows the log, makes decisions about the fleet and serves its state.
 *
 * @example
 * ```ts
 * const controller = new Controller(settings, onError);
 * const address = await controller.open();
 * await controller.close();
 * ```
 */
export class Controller {
  readonly #settings: ControllerSettings;

  readonly #scope: ActorScope;

  readonly #replica: FleetReplica;

  readonly #follower: FleetFollower;

  readonly #writer: LogWriter;

  readonly #maintenanceRunner: MaintenanceRunner;

  readonly #planner: ControllerPlanner;

  readonly #logClient: HttpLogClient;

  readonly #server: HttpServer;

  readonly #session: string;

  readonly #clock = new SystemClock();

  readonly #hostWatcher: HostWatcher;

  readonly #demandWatcher: DemandWatcher;

  readonly #checkpointKeeper: CheckpointKeeper;

  #peers: ControllerPeers | undefined;

  constructor(settings: ControllerSettings, onError: ErrorHandler, observer?: ProcessObserver) {
    this.#settings = settings;
    this.#session = observer?.process ?? randomUUID();
    this.#scope = new ActorScope('controller', onError, observer);
    const clock = this.#clock;
    const replica = new FleetReplica(this.#scope, { clock });
    this.#replica = replica;
    const client = new HttpLogClient(settings.platform);
    this.#logClient = client;
    const writer = new LogWriter(this.#scope, { client });
    this.#writer = writer;
    replica.send({ type: 'subscribe', projector: new SequenceProjector(writer) });
    const sources = [
      new LogRecordSource(new HttpLogClient(settings.platform)),
      ...settings.peers.map((peer) => new ControllerRecordSource(peer)),
    ];
    this.#follower = new FleetFollower(this.#scope, replica, sources, { clock });
    const runner = new MaintenanceRunner(
      this.#scope,
      new HttpMaintenanceActions(settings.platform),
      clock,
    );
    this.#maintenanceRunner = runner;
    const policies = { policy: new SpreadPlacement(), lending: new SustainedShortageLending() };
    const plannerOptions = { replica, writer, runner, clock, ...policies };
    this.#planner = new ControllerPlanner(this.#scope, plannerOptions);
    this.#hostWatcher = new HostWatcher(this.#scope, {
      replica,
      writer,
      client: new HttpHostListClient(settings.platform),
      clock,
    });
    this.#demandWatcher = new DemandWatcher(this.#scope, { replica, writer, clock });
    this.#checkpointKeeper = new CheckpointKeeper(this.#scope, {
      replica,
      client,
      clock,
      retentionMs: settings.retentionSeconds * 1_000,
    });
    this.#server = createHTTPServer({
      router: controllerRouter,
      createContext: () => ({ api: this.#buildApi() }),
      middleware: (request, response, next) => {
        if (!observer?.answer(request, response)) next();
      },
    });
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    if (observer) registerEndpoints(observer, () => this.#buildApi());
  }

  /** Starts the API server and returns its address. */
  async open(): Promise<string> {
    const address = await openServer(this.#server, this.#settings.address);
    this.#follower.start();
    this.#peers = new ControllerPeers(this.#scope, {
      replica: this.#replica,
      writer: this.#writer,
      clock: this.#clock,
      session: this.#session,
      dataCentre: this.#settings.dataCentre,
      address,
      onRank: (rank) => this.#publishRank(rank),
    });
    await this.#waitForInitialState();
    return address;
  }

  /** Ends the session, stops the actors and closes the API server. */
  async close(): Promise<void> {
    this.#peers?.close();
    this.#planner.close();
    await this.#endSession();
    this.#demandWatcher.close();
    await this.#hostWatcher.close();
    this.#checkpointKeeper.close();
    await this.#maintenanceRunner.close();
    this.#writer.close();
    await this.#follower.close();
    this.#replica.close();
    await closeServer(this.#server);
    await this.#logClient.close();
    this.#scope.close();
  }

  /**
   * Waits briefly for the first read, so that a controller is not announced before it has a state.
   */
  async #waitForInitialState(): Promise<void> {
    const end = this.#clock.readMonotonic() + INITIAL_READ_TIMEOUT_MS;
    while (this.#clock.readMonotonic() < end) {
      const status = await this.#follower.ask<FollowerStatus>((reply) => ({
        type: 'status',
        reply,
      }));
      if (status.readiness !== 'not-ready') return;
      await setTimeout(INITIAL_READ_INTERVAL_MS);
    }
  }

  /** If the log is unavailable, the session stays open until another controller ends it. */
  async #endSession(): Promise<void> {
    const session = this.#session;
    const bodies: RecordBody[] = [{ type: 'session-end', session, by: session }];
    await this.#writer.ask<LogSubmitResult>(
      (reply) => ({ type: 'submit', bodies, timeoutMs: SESSION_END_TIMEOUT_MS, reply }),
      2 * SESSION_END_TIMEOUT_MS,
    );
  }

  #publishRank(rank: number): void {
    [this.#planner, this.#hostWatcher, this.#demandWatcher, this.#checkpointKeeper].forEach(
      (actor) => {
        actor.send({ type: 'rank', rank });
      },
    );
  }

  #buildApi(): ControllerApi {
    return new ControllerApi({
      replica: this.#replica,
      follower: this.#follower,
      writer: this.#writer,
      hostWatcher: this.#hostWatcher,
      demandWatcher: this.#demandWatcher,
      scope: this.#scope,
      session: this.#session,
      dataCentre: this.#settings.dataCentre,
    });
  }
}
