import type { WorkLogView } from '../workLog/mod.js';
import { WorkLogFollower } from './WorkLogFollower.js';
import { IngressObserver } from './IngressObserver.js';
import { JobService } from './JobService.js';
import { ShardCandidate } from './ShardCandidate.js';
import { computeReleaseLimit } from './computeReleaseLimit.js';
import { isStandby } from './isStandby.js';
import type { NodeContext } from './NodeContext.js';
import { OperatorFollower, type OperatorState } from './OperatorFollower.js';
import { Registration } from './Registration.js';
import { RelayClient } from './RelayClient.js';
import { RelayServer } from './RelayServer.js';
import { WorkLogWriter } from './WorkLogWriter.js';

/** A node whose work log state is older than this, in ms, reports that it is not ready. */
const MAX_READY_STATE_AGE_MS = 2_500;
/** Time in ms that the release of the shard may take in addition to its own limit. */
const STOP_MARGIN_MS = 500;

/**
 * One node of the system: it serves callers, follows the logs of the store and may own the shard.
 *
 * @example
 * ```ts
 * const node = new Node(context);
 * node.open();
 * node.isReady; // false until the configuration and the jobs have been read
 * await node.stop();
 * await node.close();
 * ```
 */
export class Node {
  readonly #context: NodeContext;

  readonly #workLog: WorkLogFollower;

  readonly #writer: WorkLogWriter;

  readonly #registration: Registration;

  readonly #operatorFollower: OperatorFollower;

  readonly #shardCandidate: ShardCandidate;

  readonly #jobService: JobService;

  readonly #relay: RelayClient;

  readonly #relayServer: RelayServer;

  #operatorState: OperatorState | undefined;

  #workLogFreshAt = -Infinity;

  #isWorkLogCurrent = false;

  #isStopping = false;

  constructor(context: NodeContext) {
    this.#context = context;
    this.#writer = new WorkLogWriter(context, (latencyMs) =>
      this.#shardCandidate.send({ type: 'latency', latencyMs }),
    );
    this.#registration = new Registration(context, this.#writer);
    this.#relay = new RelayClient({
      name: context.settings.name,
      dataCentre: context.settings.dataCentre,
      readClock: () => context.clock.readMonotonic(),
      readWall: () => context.clock.readWall(),
    });
    this.#shardCandidate = new ShardCandidate(context, {
      random: Math.random,
      onOwnershipChange: (isOwner) => this.#workLog.send({ type: 'ownership-changed', isOwner }),
      requestRead: () => this.#workLog.send({ type: 'read-now' }),
      isStoreUnreachable: (token) => this.#relay.isStoreUnreachable(token),
      findResponsive: (names) => this.#relay.findResponsive(names),
    });
    this.#workLog = new WorkLogFollower(context, [
      (changes, view, state) => {
        this.#workLogFreshAt = state.freshAt;
        this.#isWorkLogCurrent = state.isCurrent;
        this.#writer.send({ type: 'read', isAnswered: state.isSilent !== true });
        const nodeChanges = changes.filter((change) => change.type === 'node');
        nodeChanges.forEach(({ name, node }) => this.#relay.setPeer(name, node));
        if (nodeChanges.length > 0) this.#updateStandby(view);
        this.#jobService.applyWorkLog(changes, view);
        this.#shardCandidate.applyWorkLog(changes, view, state);
      },
    ]);
    this.#jobService = new JobService(context, {
      workLog: this.#workLog,
      writer: this.#writer,
      relay: this.#relay,
      checkStoreContact: (token) => this.#shardCandidate.checkStoreContact(token),
    });
    this.#relayServer = new RelayServer(this.#jobService, {
      observer: new IngressObserver('peers', context),
      clock: context.clock,
    });
    this.#operatorFollower = new OperatorFollower(context, (state) => {
      this.#operatorState = state;
      this.#jobService.setOperatorState(state);
      this.#shardCandidate.applyOperator(state);
    });
  }

  get jobService(): JobService {
    return this.#jobService;
  }

  /** The active configuration; undefined until the first one has been read. */
  get configuration(): OperatorState['configuration'] {
    return this.#operatorState?.configuration;
  }

  /** Checks whether the load balancer should send new calls to this node. */
  get isReady(): boolean {
    if (this.#isStopping || this.configuration === undefined || !this.#isWorkLogCurrent)
      return false;
    if (!this.#jobService.isReady) return false;
    const ageMs = this.#context.clock.readMonotonic() - this.#workLogFreshAt;
    return ageMs <= MAX_READY_STATE_AGE_MS;
  }

  /** Opens the peer server and begins to register the node in the work log. */
  async open(): Promise<void> {
    const { peerAddress } = this.#context.settings;
    const address = peerAddress === undefined ? '' : await this.#relayServer.open(peerAddress);
    this.#registration.send({ type: 'register', address });
  }

  #updateStandby({ nodes }: WorkLogView): void {
    const { name, cores } = this.#context.settings;
    const others = [...nodes].map(([other, record]) => ({ name: other, cores: record.cores ?? 0 }));
    this.#workLog.send({
      type: 'standby-changed',
      isStandby: isStandby({ name, cores }, others),
    });
  }

  /** Reports that the node is not ready and releases the shard. Calls are still served. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    this.#jobService.refuseRelays();
    const limitMs = computeReleaseLimit(this.#context.settings.stopGraceMs);
    await this.#shardCandidate.ask<boolean>(
      (reply) => ({ type: 'stop', reply }),
      limitMs + STOP_MARGIN_MS,
    );
  }

  async close(): Promise<void> {
    this.#shardCandidate.close();
    this.#operatorFollower.close();
    this.#workLog.close();
    this.#registration.close();
    this.#writer.close();
    await this.#relayServer.close();
  }
}
