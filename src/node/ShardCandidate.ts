import { Actor } from '../actor/mod.js';
import { WorkLogKey, type WorkLogChange, type WorkLogView } from '../workLog/mod.js';
import type { RecentMachineOrder } from '../schedule/mod.js';
import type { FollowerState } from './TopicFollower.js';
import type { NodeContext } from './NodeContext.js';
import { OwnerWriter } from './OwnerWriter.js';
import type { OperatorState } from './OperatorFollower.js';
import { computeClaimDelay } from './computeClaimDelay.js';
import { computeSilenceLimit } from './computeSilenceLimit.js';
import { ShardOwner } from './ShardOwner.js';
import { UnrecordedStarts } from './UnrecordedStarts.js';

/** Maximum random delay in ms before a claim, so that the nodes do not claim simultaneously. */
const CLAIM_JITTER_MS = 250;
/** Maximum random delay in ms if there is no owner. */
const UNOWNED_CLAIM_JITTER_MS = 30;
/**
 * A node that handed the shard over because it could not keep up does so again only after this time
 * in ms, and only to a node with this multiple of its processor share.
 */
const HAND_OVER_INTERVAL_MS = 30_000;
const HAND_OVER_FACTOR = 1.5;
/** Minimum delay in ms before a claim with an unknown outcome is retried. */
const CLAIM_RETRY_DELAY_MS = 300;

/** Upper bound of the random sequence numbers that distinguish two claims with the same token. */
const MAX_FIRST_SEQUENCE = 1_000_000_000;

/** Changes that records of the owner make. */
const OWNER_CHANGES: ReadonlySet<WorkLogChange['type']> = new Set([
  'progress',
  'wave',
  'machine-orders',
]);

/** Messages of a `ShardCandidate`. */
export type ShardCandidateMessage =
  | { type: 'claimed'; result: 'claimed' | 'lost' | 'unknown'; token: number }
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

  #jitterMs: number;

  #isClaiming = false;

  #claimNotBefore = 0;

  /** Token of the last claim. */
  #claimedToken: number | undefined;

  /** Sequence number of the last claim. */
  #claimSequence = 0;

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
    this.#jitterMs = options.random() * CLAIM_JITTER_MS;
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
        this.#isClaiming = false;
        this.#claimNotBefore = this.#context.clock.readMonotonic() + CLAIM_RETRY_DELAY_MS;
        if (message.result === 'lost') this.#claimNotBefore = 0;
        this.#context.log.record('claim', String(message.token), { result: message.result });
        this.#options.requestRead();
        break;
      case 'lost':
        this.#owner = undefined;
        this.#options.onOwnershipChange(false);
        break;
      case 'reconsider':
        if (this.#lastRead !== undefined) {
          const { view, state } = this.#lastRead;
          this.#considerClaim(view, state, this.#context.clock.readMonotonic());
        }
        break;
      default:
        this.#isStopping = true;
        await this.#releaseShard();
        message.reply(true);
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
    if (this.#owner !== undefined || this.#isClaiming || this.#isStopping) return;
    if (!state.isCurrent || !state.isInContact) return;
    if (now < this.#claimNotBefore) return;
    const { owner } = view;
    if (!this.#isClaimable(view, state, now)) return;
    const token = (owner?.token ?? 0) + 1;
    this.#isClaiming = true;
    if (token !== this.#claimedToken)
      this.#claimSequence = Math.floor(this.#options.random() * MAX_FIRST_SEQUENCE);
    this.#claimedToken = token;
    this.#context.log.record('claim-begun', String(token), {
      before: owner?.node,
      silentMs: Math.round(now - this.#ownerSeenAt),
      end: state.end,
    });
    const record = {
      key: WorkLogKey.owner,
      value: JSON.stringify({
        token,
        node: this.#context.settings.name,
        session: this.#context.session,
        dataCentre: this.#context.settings.dataCentre,
        unrecorded: owner === undefined ? [] : this.#unrecordedStarts.list(owner),
        readTo: state.end,
      }),
    };
    OwnerWriter.claim(this.#context, { record, token, sequence: this.#claimSequence }).then(
      (result) => this.send({ type: 'claimed', result, token }),
    );
  }

  #isClaimable(view: WorkLogView, state: FollowerState, now: number): boolean {
    const { owner } = view;
    const delayMs = this.#computeClaimDelay(view);
    if (owner === undefined || owner.isReleased) {
      const jitterMs =
        owner === undefined ? (this.#jitterMs / CLAIM_JITTER_MS) * UNOWNED_CLAIM_JITTER_MS : 0;
      const since = Math.max(state.contactSince, owner === undefined ? 0 : this.#ownerSeenAt);
      const remainingMs = since + jitterMs + delayMs - now;
      if (remainingMs > 0) this.#scheduleReconsideration(remainingMs);
      return remainingMs <= 0;
    }
    // This process owned the shard and lost it, for example because it was suspended.
    if (owner.session === this.#context.session) return true;
    if (view.hasOwnerEnded) return true;
    // Silence is only known up to the time at which the state was current: a node that was suspended
    // has not read what the owner wrote meanwhile.
    const silentMs = state.freshAt - Math.max(this.#ownerSeenAt, state.contactSince);
    const { ownerSilenceMs } = this.#context.settings;
    const limitMs = computeSilenceLimit(ownerSilenceMs, owner.intervalMs);
    return silentMs > limitMs + this.#jitterMs + delayMs;
  }

  #computeClaimDelay(view: WorkLogView): number {
    const { name, cores } = this.#context.settings;
    return computeClaimDelay(cores, ShardCandidate.#listCores(view, name));
  }

  /** Lists the processor shares of the other registered nodes. */
  static #listCores(view: WorkLogView, name: string): number[] {
    return [...view.nodes].flatMap(([other, { cores }]) =>
      other === name || cores === undefined ? [] : [cores],
    );
  }

  #scheduleReconsideration(delayMs: number): void {
    clearTimeout(this.#reconsiderTimer);
    this.#reconsiderTimer = setTimeout(() => this.send({ type: 'reconsider' }), delayMs);
  }

  /** Checks whether the owner may hand the shard over since a faster node is registered. */
  #canHandOver(view: WorkLogView): boolean {
    const { name, cores } = this.#context.settings;
    const now = this.#context.clock.readMonotonic();
    if (now - this.#handedOverAt < HAND_OVER_INTERVAL_MS) return false;
    if (!ShardCandidate.#listCores(view, name).some((other) => other >= HAND_OVER_FACTOR * cores)) {
      return false;
    }
    this.#handedOverAt = now;
    return true;
  }

  #handleClaim(
    { owner, before, offset }: WorkLogChange & { type: 'owner' },
    view: WorkLogView,
  ): void {
    this.#context.log.record('owner', String(owner.token), { node: owner.node, offset });
    this.#jitterMs = this.#options.random() * CLAIM_JITTER_MS;
    if (owner.session !== this.#context.session || owner.token !== this.#claimedToken) return;
    if (this.#owner !== undefined || this.isClosed) return;
    this.#owner = new ShardOwner(this.#context, {
      takeover: {
        token: owner.token,
        claimOffset: offset,
        isFirst: before === undefined,
        isHandover: before?.isReleased ?? false,
        sequence: this.#claimSequence,
        machineOrders: this.#listRecentMachineOrders(view),
        unrecorded: owner.unrecorded,
      },
      jobs: [...view.jobs],
      earlyCancels: view.listEarlyCancels(),
      waves: view.waves,
      operator: this.#operatorState,
      onLost: () => this.send({ type: 'lost' }),
      isStoreUnreachable: () => this.#options.isStoreUnreachable(owner.token),
      canHandOver: () => this.#canHandOver(view),
      onUnrecordedStarts: () => this.#unrecordedStarts.confirm(owner.token),
    });
    this.#options.onOwnershipChange(true);
  }

  /** Lists the recorded machine orders with a lower bound of their current age. */
  #listRecentMachineOrders(view: WorkLogView): RecentMachineOrder[] {
    const sinceRead = this.#context.clock.readMonotonic() - this.#machineOrdersReadAt;
    return view.machineOrders.map(({ machine, ageMs }) => ({ machine, ageMs: ageMs + sinceRead }));
  }

  async #releaseShard(): Promise<void> {
    const owner = this.#owner;
    if (owner === undefined) return;
    try {
      await owner.ask<boolean>((reply) => ({ type: 'release', reply }), 1_000);
    } catch (error) {
      this.#context.log.record('hand-over-failed', String(owner.token), { error: String(error) });
      owner.close();
    }
    this.#owner = undefined;
  }
}
