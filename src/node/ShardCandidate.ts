import { Actor } from '../actor/mod.js';
import type { Successor, WorkLogChange, WorkLogView } from '../workLog/mod.js';
import type { RecentMachineOrder } from '../schedule/mod.js';
import { ClaimRanking } from './ClaimRanking.js';
import { ClaimSchedule } from './ClaimSchedule.js';
import { computeReleaseLimit } from './computeReleaseLimit.js';
import type { FollowerState } from './TopicFollower.js';
import type { NodeContext } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';
import { ShardClaimer, type SettledClaim } from './_ShardClaimer.js';
import { ShardOwner } from './ShardOwner.js';
import { UnrecordedStarts } from './UnrecordedStarts.js';

/**
 * A node that handed the shard over because it could not keep up does so again only after this time
 * in ms, and only to a node with this multiple of its processor share.
 */
const HAND_OVER_INTERVAL_MS = 30_000;
const HAND_OVER_FACTOR = 1.5;
/** Time in ms for reading the claims of other nodes before an own one that has waited. */
const REFRESH_MS = 30;

/** Changes that records of the owner make. */
const OWNER_CHANGES: ReadonlySet<WorkLogChange['type']> = new Set([
  'progress',
  'wave',
  'machine-orders',
]);

/** Messages of a `ShardCandidate`. */
export type ShardCandidateMessage =
  | { type: 'claimed'; claim: SettledClaim }
  /** Reports the expected latency in ms of the appends of this node. */
  | { type: 'latency'; latencyMs: number }
  | { type: 'lost' }
  | { type: 'reconsider' }
  | { type: 'stop'; reply: (isDone: boolean) => void };

/** Options of a `ShardCandidate`. */
export interface ShardCandidateOptions {
  random: () => number;
  /** Called when the node starts or stops owning the shard; an owner reads the log more often. */
  onOwnershipChange: (isOwner: boolean) => void;
  /** Makes the follower of the work log read immediately. */
  requestRead: () => void;
  /** Checks whether all other nodes respond and none of them is in contact with the store. */
  isStoreUnreachable: (token: number) => Promise<boolean>;
  /** Finds the first of the given nodes that responds and can append; undefined if none can. */
  findResponsive: (names: readonly string[]) => Promise<string | undefined>;
}

/**
 * Decides when this node claims the shard, and runs a `ShardOwner` while the node owns it.
 *
 * The owner counts as silent if the node has read no record from it for a while although all its
 * reads succeeded and reached the end of the log: neither an outage of the store nor a delay of this
 * process makes the owner silent.
 */
export class ShardCandidate extends Actor<ShardCandidateMessage> {
  readonly #context: NodeContext;

  readonly #options: ShardCandidateOptions;

  #owner: ShardOwner | undefined;

  #operatorState: OperatorState | undefined;

  #ownerSeenAt: number;

  readonly #schedule: ClaimSchedule;

  readonly #claimer: ShardClaimer;

  /** The log has been read again since this node began to wait with its claim. */
  #isRefreshed = false;

  readonly #unrecordedStarts: UnrecordedStarts;

  #isInContact = false;

  /** Monotonic time in ms at which the recorded machine orders were read. */
  #machineOrdersReadAt = 0;

  #isStopping = false;

  /** Inputs of the last decision whether to claim, for a decision after a delay. */
  #lastRead: { view: WorkLogView; state: FollowerState } | undefined;

  #reconsiderTimer: NodeJS.Timeout | undefined;

  #handedOverAt = -Infinity;

  constructor(context: NodeContext, options: ShardCandidateOptions) {
    super(context.scope, 'candidate');
    this.#context = context;
    this.#options = options;
    this.#ownerSeenAt = context.clock.readMonotonic();
    const { name, cores, ownerSilenceMs } = context.settings;
    const { random } = options;
    const { session } = context;
    this.#schedule = new ClaimSchedule({ name, cores, session, ownerSilenceMs, random });
    this.#claimer = new ShardClaimer(context, random);
    this.#unrecordedStarts = new UnrecordedStarts(context.session);
  }

  get isOwner(): boolean {
    return this.#owner !== undefined;
  }

  /** Handles changes of the work log view, in log order. */
  applyWorkLog(changes: readonly WorkLogChange[], view: WorkLogView, state: FollowerState): void {
    const now = this.#context.clock.readMonotonic();
    this.#isInContact = state.isInContact;
    changes.forEach((change) => {
      this.#unrecordedStarts.applyChange(change);
      if (change.type === 'owner') {
        this.#ownerSeenAt = now;
        if (change.isClaim) this.#handleClaim(change, view);
      }
      // Only the owner writes these records, and its append may contain no others. After a claim, the
      // store accepts none of an earlier owner.
      if (OWNER_CHANGES.has(change.type)) this.#ownerSeenAt = now;
      if (change.type === 'machine-orders') this.#machineOrdersReadAt = now;
    });
    if (this.#owner !== undefined) this.#owner.send({ type: 'work-log', changes, end: state.end });
    this.#lastRead = { view, state };
    this.#considerClaim(view, state, now);
  }

  /** See `RelayApi.checkStoreContact`. */
  checkStoreContact(token: number): boolean {
    if (!this.#isInContact) this.#unrecordedStarts.confirm(token);
    return this.#isInContact;
  }

  /** Passes the operator's configuration and waves to the owner. */
  applyOperator(state: OperatorState): void {
    this.#operatorState = state;
    this.#owner?.send({ type: 'operator', state });
  }

  protected override async receive(message: ShardCandidateMessage): Promise<void> {
    switch (message.type) {
      case 'claimed':
        this.#handleClaimResult(message.claim);
        break;
      case 'latency':
        this.#claimer.recordLatency(message.latencyMs);
        break;
      case 'lost':
        this.#owner = undefined;
        this.#options.onOwnershipChange(false);
        break;
      case 'reconsider':
        if (!this.#isRefreshed) {
          // The claim of another node may be stored and not read yet.
          this.#isRefreshed = true;
          this.#options.requestRead();
          this.#scheduleReconsideration(REFRESH_MS);
        } else if (this.#lastRead !== undefined) {
          const { view, state } = this.#lastRead;
          this.#considerClaim(view, state, this.#context.clock.readMonotonic());
        }
        break;
      default:
        this.#isStopping = true;
        message.reply(await this.#releaseShard());
    }
  }

  override close(): void {
    clearTimeout(this.#reconsiderTimer);
    this.#owner?.close();
    this.#owner = undefined;
    super.close();
  }

  /** Claims the shard if it is claimable and this node is in contact with the store. */
  #considerClaim(view: WorkLogView, state: FollowerState, now: number): void {
    if (this.#owner !== undefined || this.#isStopping || !this.#claimer.canClaim(now)) return;
    if (!state.isCurrent || !state.isInContact) return;
    if (!this.#isClaimDue(view, state, now)) return;
    const { owner } = view;
    const unrecorded = owner === undefined ? [] : this.#unrecordedStarts.list(owner);
    const silentMs = now - this.#ownerSeenAt;
    this.#claimer
      .claim({ owner, unrecorded, readTo: state.end, silentMs })
      .then((claim) => this.send({ type: 'claimed', claim }));
  }

  #handleClaimResult(claim: SettledClaim): void {
    const delayMs = this.#claimer.settle(claim);
    this.#options.requestRead();
    if (claim.result !== 'refused') return;
    this.#isRefreshed = false;
    this.#scheduleReconsideration(delayMs);
  }

  #isClaimDue(view: WorkLogView, state: FollowerState, now: number): boolean {
    const waitMs = this.#schedule.computeWait(view, state, {
      now,
      ownerSeenAt: this.#ownerSeenAt,
      latencyMs: Math.max(this.#claimer.latencyMs, state.latencyMs ?? 0),
    });
    if (waitMs === undefined) return false;
    if (waitMs > 0) {
      this.#isRefreshed = false;
      this.#scheduleReconsideration(waitMs);
      return false;
    }
    return true;
  }

  #scheduleReconsideration(delayMs: number): void {
    clearTimeout(this.#reconsiderTimer);
    this.#reconsiderTimer = setTimeout(() => this.send({ type: 'reconsider' }), delayMs);
  }

  /**
   * Decides whether an overloaded owner leaves the shard to a faster node. None is named as the
   * successor, since it may not respond: the fastest one claims at once, and the others follow.
   */
  #considerHandOver(view: WorkLogView): boolean {
    const { cores } = this.#context.settings;
    const now = this.#context.clock.readMonotonic();
    if (now - this.#handedOverAt < HAND_OVER_INTERVAL_MS) return false;
    const [fastest] = this.#listSuccessors(view);
    const fastestCores = fastest === undefined ? 0 : (view.nodes.get(fastest.node)?.cores ?? 0);
    if (fastestCores < HAND_OVER_FACTOR * cores) return false;
    this.#handedOverAt = now;
    return true;
  }

  #listSuccessors({ nodes }: WorkLogView): Successor[] {
    const { name, dataCentre } = this.#context.settings;
    return new ClaimRanking({ nodes, owner: name }).listSuccessors(dataCentre);
  }

  /** Chooses the node to which a stopping owner hands the shard over, among those that respond. */
  async #chooseSuccessor(): Promise<Successor | undefined> {
    if (this.#lastRead === undefined) return undefined;
    const successors = this.#listSuccessors(this.#lastRead.view);
    const name = await this.#options.findResponsive(successors.map(({ node }) => node));
    return successors.find(({ node }) => node === name);
  }

  #handleClaim(
    { owner, before, offset }: WorkLogChange & { type: 'owner' },
    view: WorkLogView,
  ): void {
    this.#context.log.record('owner', String(owner.token), { node: owner.node, offset });
    if (owner.session !== this.#context.session || owner.token !== this.#claimer.token) return;
    if (this.#owner !== undefined || this.isClosed) return;
    this.#owner = new ShardOwner(this.#context, {
      takeover: {
        token: owner.token,
        claimOffset: offset,
        isFirst: before === undefined,
        isHandover: before?.isReleased ?? false,
        sequence: this.#claimer.sequence,
        machineOrders: this.#listRecentMachineOrders(view),
        unrecorded: owner.unrecorded,
      },
      jobs: [...view.jobs],
      earlyCancels: view.listEarlyCancels(),
      waves: view.waves,
      operator: this.#operatorState,
      onLost: () => this.send({ type: 'lost' }),
      isStoreUnreachable: () => this.#options.isStoreUnreachable(owner.token),
      considerHandOver: () => this.#considerHandOver(view),
      onUnrecordedStarts: () => this.#unrecordedStarts.confirm(owner.token),
    });
    this.#options.onOwnershipChange(true);
    // The claim was sent before the stop; the shard is released before any order is given.
    if (this.#isStopping) this.#owner.send({ type: 'release', reply: () => undefined });
  }

  /** Lists the recorded machine orders with a lower bound of their current age. */
  #listRecentMachineOrders(view: WorkLogView): RecentMachineOrder[] {
    const sinceRead = this.#context.clock.readMonotonic() - this.#machineOrdersReadAt;
    return view.machineOrders.map((order) => ({ ...order, ageMs: order.ageMs + sinceRead }));
  }

  /** Releases the shard; returns false if the release is not known to be stored. */
  async #releaseShard(): Promise<boolean> {
    const owner = this.#owner;
    if (owner === undefined || owner.isClosed) return true;
    const limitMs = computeReleaseLimit(this.#context.settings.stopGraceMs);
    const startedAt = this.#context.clock.readMonotonic();
    const successor = await this.#chooseSuccessor();
    this.#context.log.record('hand-over', String(owner.token), { successor: successor?.node });
    let isDone = false;
    try {
      isDone = await owner.ask<boolean>(
        (reply) => ({ type: 'release', successor, reply }),
        limitMs - (this.#context.clock.readMonotonic() - startedAt),
      );
    } catch (error) {
      this.#context.log.record('hand-over-failed', String(owner.token), { error: String(error) });
    }
    // The release may still be stored; in any case this process gives no more orders.
    owner.close();
    this.#owner = undefined;
    return isDone;
  }
}
