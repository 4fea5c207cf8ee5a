import { Actor } from '../actor/mod.js';
import { WorkLogKey, type WorkLogChange, type WorkLogView } from '../workLog/mod.js';
import type { RecentMachineOrder } from '../schedule/mod.js';
import type { FollowState } from './TopicFollower.js';
import type { NodeParts } from './NodeContext.js';
import { OwnerWriter } from './OwnerWriter.js';
import type { OperatorState } from './OperatorFollower.js';
import { ShardOwner } from './ShardOwner.js';
import { UnrecordedStarts } from './UnrecordedStarts.js';

/** Longest random delay in ms before a claim, so that not all nodes claim at once. */
const CLAIM_SPREAD_MS = 250;
/** Longest random delay in ms where no owner exists or it has handed over. */
const FREE_SPREAD_MS = 30;
/** A claim whose outcome is not known is repeated after this time in ms at the earliest. */
const CLAIM_PAUSE_MS = 300;

/** Sequence numbers of claims are drawn below this, so that two claims of one token differ. */
const MAX_SEQUENCE = 1_000_000_000;

/** Messages of a candidate. */
export type CandidateMessage =
  | { type: 'claimed'; result: 'claimed' | 'lost' | 'unknown'; token: number }
  | { type: 'lost' }
  | { type: 'stop'; reply: (isDone: boolean) => void };

/** What a candidate needs besides the parts of the node. */
export interface CandidateOptions {
  random: () => number;
  /** Asks the follower of the work log to read at once, and more often while owning. */
  onOwning: (isOwner: boolean) => void;
  onHurry: () => void;
  /** Checks whether every other node answers and none is in contact with the store. */
  isStoreAway: (token: number) => Promise<boolean>;
}

/**
 * Decides when this node claims the shard, and runs the owner while it has it.
 *
 * The owner counts as silent when the node has read nothing of it for a while although its reads
 * were answered all the time: an outage of the store is no silence of the owner.
 */
export class Candidate extends Actor<CandidateMessage> {
  readonly #parts: NodeParts;

  readonly #options: CandidateOptions;

  #owner: ShardOwner | undefined;

  #operator: OperatorState | undefined;

  #ownerSeenAt: number;

  #spreadMs: number;

  #isClaiming = false;

  #claimNotBefore = 0;

  /** Token of the last claim. */
  #claimed: number | undefined;

  /** Sequence number of the last claim. */
  #sequence = 0;

  readonly #unrecorded: UnrecordedStarts;

  #isInContact = false;

  /** Steady time in ms at which the recorded orders about machines were read. */
  #machineOrdersReadAt = 0;

  #isStopping = false;

  constructor(parts: NodeParts, options: CandidateOptions) {
    super(parts.scope, 'candidate');
    this.#parts = parts;
    this.#options = options;
    this.#ownerSeenAt = parts.clock.readMonotonic();
    this.#spreadMs = options.random() * CLAIM_SPREAD_MS;
    this.#unrecorded = new UnrecordedStarts(parts.session);
  }

  get isOwner(): boolean {
    return this.#owner !== undefined;
  }

  /** Passes on what was folded. Called in the order of the log. */
  applyBook(changes: readonly WorkLogChange[], book: WorkLogView, state: FollowState): void {
    const now = this.#parts.clock.readMonotonic();
    this.#isInContact = state.isInContact;
    changes.forEach((change) => {
      this.#unrecorded.applyChange(change);
      if (change.type === 'owner') {
        this.#ownerSeenAt = now;
        if (change.isClaim) this.#handleClaim(change, book);
      }
      if (change.type === 'progress' && change.job.progress?.token === book.owner?.token) {
        this.#ownerSeenAt = now;
      }
      // Only the owner writes these, and an append may carry nothing else.
      if (change.type === 'wave' || change.type === 'machine-orders') this.#ownerSeenAt = now;
      if (change.type === 'machine-orders') this.#machineOrdersReadAt = now;
    });
    if (this.#owner !== undefined) this.#owner.send({ type: 'book', changes, end: state.end });
    this.#consider(book, state, now);
  }

  /** See `RelayApi.readContact`. */
  readContact(token: number): boolean {
    if (!this.#isInContact) this.#unrecorded.confirm(token);
    return this.#isInContact;
  }

  /** Passes on what the operator asks for. */
  applyOperator(state: OperatorState): void {
    this.#operator = state;
    this.#owner?.send({ type: 'operator', state });
  }

  protected override async receive(message: CandidateMessage): Promise<void> {
    switch (message.type) {
      case 'claimed':
        this.#isClaiming = false;
        this.#claimNotBefore = this.#parts.clock.readMonotonic() + CLAIM_PAUSE_MS;
        if (message.result === 'lost') this.#claimNotBefore = 0;
        this.#parts.log.record('claim', String(message.token), { result: message.result });
        this.#options.onHurry();
        break;
      case 'lost':
        this.#owner = undefined;
        this.#options.onOwning(false);
        break;
      default:
        this.#isStopping = true;
        await this.#releaseShard();
        message.reply(true);
    }
  }

  override close(): void {
    this.#owner?.close();
    this.#owner = undefined;
    super.close();
  }

  /** Claims the shard if there is a reason to. */
  #consider(book: WorkLogView, state: FollowState, now: number): void {
    if (this.#owner !== undefined || this.#isClaiming || this.#isStopping) return;
    if (!state.isCurrent || !state.isInContact) return;
    if (now < this.#claimNotBefore) return;
    const { owner } = book;
    if (!this.#isFree(book, state, now)) return;
    const token = (owner?.token ?? 0) + 1;
    this.#isClaiming = true;
    if (token !== this.#claimed) this.#sequence = Math.floor(this.#options.random() * MAX_SEQUENCE);
    this.#claimed = token;
    this.#parts.log.record('claim-begun', String(token), {
      before: owner?.node,
      silentMs: Math.round(now - this.#ownerSeenAt),
      end: state.end,
    });
    const record = {
      key: WorkLogKey.owner,
      value: JSON.stringify({
        token,
        node: this.#parts.settings.name,
        session: this.#parts.session,
        dataCentre: this.#parts.settings.dataCentre,
        unrecorded: owner === undefined ? [] : this.#unrecorded.list(owner),
        readTo: state.end,
      }),
    };
    OwnerWriter.claim(this.#parts, { record, token, sequence: this.#sequence }).then((result) =>
      this.send({ type: 'claimed', result, token }),
    );
  }

  #isFree(book: WorkLogView, state: FollowState, now: number): boolean {
    const { owner } = book;
    if (owner === undefined || owner.isReleased) {
      return now - state.contactSince > (this.#spreadMs / CLAIM_SPREAD_MS) * FREE_SPREAD_MS;
    }
    // This node has owned the shard and lost it, for example by a suspension.
    if (owner.session === this.#parts.session) return true;
    // The owner's node has registered again, so the process that owned the shard has ended.
    const node = book.nodes.get(owner.node);
    if (node !== undefined && node.session !== owner.session) return true;
    const silentMs = now - Math.max(this.#ownerSeenAt, state.contactSince);
    return silentMs > this.#parts.settings.ownerSilenceMs + this.#spreadMs;
  }

  #handleClaim(
    { owner, before, offset }: WorkLogChange & { type: 'owner' },
    book: WorkLogView,
  ): void {
    this.#parts.log.record('owner', String(owner.token), { node: owner.node, offset });
    this.#spreadMs = this.#options.random() * CLAIM_SPREAD_MS;
    if (owner.session !== this.#parts.session || owner.token !== this.#claimed) return;
    if (this.#owner !== undefined || this.isClosed) return;
    this.#owner = new ShardOwner(this.#parts, {
      takeover: {
        token: owner.token,
        claimOffset: offset,
        isFirst: before === undefined,
        isHandover: before?.isReleased ?? false,
        sequence: this.#sequence,
        machineOrders: this.#computeMachineOrders(book),
        unrecorded: owner.unrecorded,
      },
      jobs: [...book.jobs],
      waves: book.waves,
      operator: this.#operator,
      onLost: () => this.send({ type: 'lost' }),
      isStoreAway: () => this.#options.isStoreAway(owner.token),
      onUnrecorded: () => this.#unrecorded.confirm(owner.token),
    });
    this.#options.onOwning(true);
  }

  /** Computes how old the recorded orders about machines are by now, at least. */
  #computeMachineOrders(book: WorkLogView): RecentMachineOrder[] {
    const sinceRead = this.#parts.clock.readMonotonic() - this.#machineOrdersReadAt;
    return book.machineOrders.map(({ machine, ageMs }) => ({ machine, ageMs: ageMs + sinceRead }));
  }

  async #releaseShard(): Promise<void> {
    const owner = this.#owner;
    if (owner === undefined) return;
    try {
      await owner.ask<boolean>((reply) => ({ type: 'hand-over', reply }), 1_000);
    } catch (error) {
      this.#parts.log.record('hand-over-failed', String(owner.token), { error: String(error) });
      owner.close();
    }
    this.#owner = undefined;
  }
}
