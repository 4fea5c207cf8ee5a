import { ActorScope } from '../actor/mod.js';
import { WorkLogKey, MachineOrders, OwnerRecord } from '../workLog/mod.js';
import { OffsetClock } from '../clock/mod.js';
import { EmulatedDecoder } from './EmulatedDecoder.js';
import { EmulatedFleet, type EmulatedFleetOptions } from './EmulatedFleet.js';
import { EmulatedStore } from './EmulatedStore.js';
import { findOwner } from './findOwner.js';
import { createLogger } from '../logging/mod.js';
import { Metrics } from '../metrics/mod.js';
import {
  DecisionLog,
  Node,
  NodeSettings,
  type CallOptions,
  type CallResponse,
} from '../node/mod.js';
import { QueueConfig, type OrganisationConfig, type WaveOrder } from '../port/mod.js';
import { JobSpec } from '../task/mod.js';
import { NoAdviceService } from './NoAdviceService.js';

/** A running node and its actor scope, which are closed together. */
interface RunningNode {
  node: Node;
  scope: ActorScope;
}

/** Options of a cluster. */
export interface NodeClusterOptions extends Pick<
  EmulatedFleetOptions,
  'script' | 'sampleFault' | 'onMachineOrder'
> {
  nodes: number;
  machines: number;
  /** Number of machines in the standby pool; 0 by default. */
  standbyMachines?: number;
  /** Organisations of the first configuration; by default the deployment has none. */
  organisations?: OrganisationConfig[];
  /** See `NodeSettings`. */
  revocationLimitMs?: number;
  /** Time in ms that a node has for its stop. */
  stopGraceMs?: number;
}

/** A cluster of nodes on an emulated platform, all in one process. */
export class NodeCluster {
  readonly clock = new OffsetClock();

  readonly store = new EmulatedStore(this.clock);

  readonly fleet: EmulatedFleet;

  readonly queue = QueueConfig.parse({
    name: 'renders',
    hostName: 'jobs.example',
    pathPrefix: '/renders/',
    pool: 'studio',
    maxAttempts: 1_000,
    latencyTargetMs: 600,
  });

  /** A queue that needs no API key. */
  readonly publicQueue = QueueConfig.parse({
    ...this.queue,
    name: 'previews',
    pathPrefix: '/previews/',
    isPublic: true,
  });

  readonly #nodes = new Map<string, RunningNode>();

  readonly #revocationLimitMs: number | undefined;

  #version = 0;

  readonly #stopGraceMs: number;

  #sessionCount = 0;

  constructor(options: NodeClusterOptions) {
    this.#stopGraceMs = options.stopGraceMs ?? 2_000;
    this.fleet = new EmulatedFleet({ clock: this.clock, store: this.store, ...options });
    this.#revocationLimitMs = options.revocationLimitMs;
    this.setOrganisations(options.organisations);
    for (let index = 0; index < options.machines; index += 1) {
      this.fleet.addMachine(`m-${index}`, 'studio', `r${index % 2}`);
    }
    for (let index = 0; index < (options.standbyMachines ?? 0); index += 1) {
      this.fleet.addMachine(`s-${index}`, 'reserve', `r${index % 2}`);
    }
    for (let index = 0; index < options.nodes; index += 1) this.start(`node-${index}`);
  }

  /** Sets a new version of the configuration, with the given organisations, as the operator. */
  setOrganisations(organisations?: OrganisationConfig[]): void {
    this.#version += 1;
    const configuration = {
      version: this.#version,
      queues: organisations === undefined ? [this.queue] : [this.queue, this.publicQueue],
      pools: [
        { name: 'studio', refusesOverload: true, isStandby: false, maxConnections: 64 },
        { name: 'reserve', refusesOverload: true, isStandby: true, maxConnections: 64 },
      ],
      organisations,
      limits: {},
    };
    const record = JSON.stringify({ type: 'configuration', configuration });
    this.store.write('operator', 'config', record);
  }

  get names(): string[] {
    return [...this.#nodes.keys()];
  }

  /** Starts or restarts a node. */
  start(name: string): void {
    this.#sessionCount += 1;
    const logger = createLogger('node', {
      level: process.env.TEST_LOG_LEVEL ?? 'error',
      process: name,
    });
    const metrics = new Metrics();
    const log = new DecisionLog(logger, this.clock, metrics);
    const scope = new ActorScope(name, (actor, error) => log.reportFault(actor, error));
    const node = new Node({
      scope,
      clock: this.clock,
      log,
      metrics,
      settings: NodeSettings.parse({
        name,
        peerAddress: '127.0.0.1:0',
        // Each node has a data centre of its own.
        dataCentre: `dc-of-${name}`,
        stopGraceMs: this.#stopGraceMs,
        retentionMs: 60_000,
        ownerSilenceMs: 500,
        ownerBeatMs: 100,
        revocationLimitMs: this.#revocationLimitMs,
        shard: {
          maxLeaseMs: 1_500,
          leaseMs: 1_000,
          moveMs: 300,
          machineLeaseMs: 300,
          detachedLimitMs: 2_000,
          dataCentre: `dc-of-${name}`,
        },
      }),
      store: this.store.connect(name),
      decoder: new EmulatedDecoder(),
      hosts: this.fleet.connectHosts(),
      machines: this.fleet.connectMachines(),
      advice: new NoAdviceService(),
      session: `session-${this.#sessionCount}`,
    });
    this.#nodes.set(name, { node, scope });
    node.open().catch((error: unknown) => log.reportFault('open', error as Error));
  }

  /** Stops a node, which hands the shard over if it owns it, and closes it. */
  async stop(name: string): Promise<void> {
    await this.get(name)?.stop();
    this.kill(name);
  }

  /** Closes a node abruptly, like a killed process. */
  kill(name: string): void {
    const running = this.#nodes.get(name);
    if (running === undefined) return;
    this.#nodes.delete(name);
    running.node.close().catch((error: unknown) => {
      process.stderr.write(`failed to close ${name}: ${String(error)}\n`);
    });
    running.scope.close();
  }

  /** Finds a node. */
  get(name: string): Node | undefined {
    return this.#nodes.get(name)?.node;
  }

  /** Submits a job to a node; the answer is `unknown` if the node is not running. */
  async submit(
    name: string,
    id: string,
    steps: unknown,
    { queue = this.queue, ...call }: CallOptions & { queue?: QueueConfig } = {},
  ): Promise<CallResponse> {
    const node = this.get(name);
    if (node === undefined) return { type: 'unknown' };
    try {
      return await node.jobService.submit(id, queue, JobSpec.parse({ payload: id, steps }), call);
    } catch {
      // The node was killed during the call, so the outcome is unknown to the caller.
      return { type: 'unknown' };
    }
  }

  /** Cancels a job at a node; the answer is `unknown` if the node is not running. */
  async cancel(name: string, id: string): Promise<CallResponse> {
    const node = this.get(name);
    return node === undefined ? { type: 'unknown' } : node.jobService.cancel(id, this.queue);
  }

  /** Queries a node for the state of a job; undefined if the node does not return one. */
  async findJobState(name: string, id: string): Promise<string | undefined> {
    try {
      const answer = await this.get(name)?.jobService.describe(id, this.queue);
      return answer?.type === 'state' ? answer.state : undefined;
    } catch {
      // The node was killed during the call.
      return undefined;
    }
  }

  /** Counts the waiting jobs as a node reports them; undefined if it does not answer. */
  async countWaiting(name: string): Promise<number | undefined> {
    const answer = await this.get(name)?.jobService.countWaiting(this.queue);
    return answer?.type === 'waiting' ? answer.count : undefined;
  }

  /** Finds the node that owns the shard. */
  findOwner(): string | undefined {
    return findOwner(this.store);
  }

  /** Reads the fencing token of the last claim of the shard; undefined if there is none. */
  readOwnerToken(): number | undefined {
    const value = this.store.listNewest('work').find(({ key }) => key === WorkLogKey.owner)?.value;
    return value === undefined ? undefined : OwnerRecord.parse(JSON.parse(String(value))).token;
  }

  /** Lists the machines with recorded orders, which a new owner does not change for a while. */
  listOrderedMachines(): readonly string[] {
    const records = this.store.listNewest('work');
    const value = records.find(({ key }) => key === WorkLogKey.machineOrders)?.value;
    if (value === undefined) return [];
    return MachineOrders.parse(JSON.parse(String(value))).orders.map(({ machine }) => machine);
  }

  /** Requests a maintenance wave as the operator. */
  orderWave(order: WaveOrder): void {
    this.store.write('operator', `wave/${order.wave}`, JSON.stringify({ type: 'wave', order }));
  }

  close(): void {
    this.names.forEach((name) => this.kill(name));
  }
}
