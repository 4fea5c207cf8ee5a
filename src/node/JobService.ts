import { WorkLogKey, JobState } from '../workLog/mod.js';
import type { QueueConfig } from '../port/mod.js';
import type { JobSpec } from '../task/mod.js';
import type { BookKeeper, JobAnswer } from './WorkLogFollower.js';
import type { CallAnswer } from './CallResponse.js';
import type { NodeParts } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';
import { QueueTable, type QueueMatch } from './QueueTable.js';
import type { RelayClient } from './RelayClient.js';
import { RelayApi } from './RelayRouter.js';
import type { FollowState } from './TopicFollower.js';
import type { WorkWriter, WriteOutcome } from './WorkLogWriter.js';

/** A node whose last answer of the store is older than this does not answer from its state, in ms. */
const MAX_STATE_AGE_MS = 1_500;
/** When a caller should come back while the store does not take records, in ms. */
const STORE_RETRY_MS = 1_000;
/** When a caller should come back while the node starts, in ms. */
const START_RETRY_MS = 500;

/** Time in ms for which a peer's question waits for the book to read on; the peer waits 400. */
const PEER_STATE_LIMIT_MS = 300;

/** Pause in ms between looks at the book while it reads on. */
const READ_POLL_MS = 30;

/** Kept of a caller's patience for the way of the answer, in ms. */
const ANSWER_MARGIN_MS = 150;
/** Time in ms that a relay through another node needs at least, and gets at most. */
const MIN_RELAY_MS = 100;
const MAX_RELAY_MS = 700;
/** The writer itself gives up in time; only a writer that is closed does not answer, in ms. */
const WRITE_MARGIN_MS = 2_000;

const NO_JOB = { state: undefined, isCurrent: true } as const;

/** Actors that the desk asks. */
export interface CallerDeskParts {
  keeper: BookKeeper;
  writer: WorkWriter;
  relay: RelayClient;
  /** See `RelayApi.readContact`. */
  readContact: (token: number) => boolean;
}

/** Answers the calls of callers: submit, ask, cancel and count. */
export class CallerDesk extends RelayApi {
  readonly #parts: NodeParts;

  readonly #keeper: BookKeeper;

  readonly #writer: WorkWriter;

  readonly #relay: RelayClient;

  readonly #readContact: (token: number) => boolean;

  #operator: OperatorState | undefined;

  #table: QueueTable | undefined;

  constructor(parts: NodeParts, { keeper, writer, relay, readContact }: CallerDeskParts) {
    super();
    this.#readContact = readContact;
    this.#relay = relay;
    this.#parts = parts;
    this.#keeper = keeper;
    this.#writer = writer;
  }

  /** Sets what the operator asks for. */
  setOperator(state: OperatorState): void {
    if (
      state.configuration !== undefined &&
      state.configuration !== this.#operator?.configuration
    ) {
      this.#table = new QueueTable(state.configuration);
    }
    this.#operator = state;
  }

  /** Finds the queue of a call, or the answer when there is none. */
  findQueue(hostName: string, path: string): QueueMatch | CallAnswer {
    const match = this.#table?.find(hostName, path);
    if (match !== undefined) return match;
    if (this.#table === undefined || !this.#isFresh(this.#operator?.freshAt)) {
      return {
        type: 'refused',
        reason: 'the configuration is not known',
        retryAfterMs: START_RETRY_MS,
      };
    }
    return { type: 'no-queue' };
  }

  /** Accepts a job once it is stored. */
  async submit(
    id: string,
    queue: QueueConfig,
    spec: JobSpec,
    patienceMs = queue.timeoutMs,
  ): Promise<CallAnswer> {
    const startedAt = this.#parts.clock.readMonotonic();
    const value = JSON.stringify({
      queue: queue.name,
      pool: queue.pool,
      rule: {
        priority: queue.priority,
        maxAttempts: queue.maxAttempts,
        stretch: queue.stretch,
        latencyTargetMs: queue.latencyTargetMs,
      },
      submittedAtMs: this.#parts.clock.readWall(),
      dataCentre: this.#parts.settings.dataCentre,
      spec,
    });
    const outcome = await this.#writeAnyhow(WorkLogKey.job(id), value, patienceMs);
    const tookMs = this.#parts.clock.readMonotonic() - startedAt;
    this.#parts.metrics.recordLatency('submit', tookMs);
    this.#parts.log.record(`job-${outcome === 'stored' ? 'accepted' : outcome}`, id, {
      queue: queue.name,
      configuration: this.#operator?.configuration?.version,
      tookMs: Math.round(tookMs),
    });
    return CallerDesk.#toAnswer(outcome, { type: 'accepted' });
  }

  /** Cancels a job once the cancellation is stored. */
  async cancel(id: string, queue: QueueConfig, patienceMs = queue.timeoutMs): Promise<CallAnswer> {
    const { state, isCurrent } = await this.#findCurrent(id, queue);
    if (state === undefined && isCurrent) return { type: 'no-job' };
    if (state !== undefined && state !== 'queued' && state !== 'running') {
      return { type: 'cancelled' };
    }
    const value = JSON.stringify({ atMs: this.#parts.clock.readWall() });
    const outcome = await this.#writeAnyhow(WorkLogKey.cancel(id), value, patienceMs);
    this.#parts.log.record('cancel', id, { queue: queue.name, outcome });
    return CallerDesk.#toAnswer(outcome, { type: 'cancelled' });
  }

  /** Describes the state of a job. */
  async describe(id: string, queue: QueueConfig): Promise<CallAnswer> {
    const { state, isCurrent } = await this.#findCurrent(id, queue);
    if (state !== undefined) return { type: 'state', state };
    if (isCurrent) return { type: 'no-job' };
    return { type: 'refused', reason: 'the state is not current', retryAfterMs: STORE_RETRY_MS };
  }

  /** Counts the jobs of a queue that have not begun. */
  async countWaiting(queue: QueueConfig): Promise<CallAnswer> {
    const count = await this.#keeper.ask<number>((reply) => ({
      type: 'count-waiting',
      queue: queue.name,
      reply,
    }));
    return { type: 'waiting', count };
  }

  /** Finds a job, at other nodes where this one does not read on. */
  async #findCurrent(
    id: string,
    queue: QueueConfig,
  ): Promise<{ state: JobState | undefined; isCurrent: boolean }> {
    const found = await this.#readOn(id, MAX_STATE_AGE_MS);
    if (found === undefined) return this.#findElsewhere(id, queue);
    return found.queue === queue.name ? { state: found.state, isCurrent: true } : NO_JOB;
  }

  /**
   * Finds a job. One that is not in the book may have been accepted by another node a moment ago, so
   * the answer waits until the book has read on from the time of the call; undefined where it does
   * not within a limit.
   */
  async #readOn(id: string, limitMs: number): Promise<JobAnswer | undefined> {
    const calledAt = this.#parts.clock.readMonotonic();
    for (;;) {
      const answer = await this.#find(id);
      const { follow } = answer;
      if (answer.state !== undefined) return answer;
      if (follow.isCurrent && follow.freshAt >= calledAt) return answer;
      const waitedMs = this.#parts.clock.readMonotonic() - calledAt;
      if (!follow.isInContact || waitedMs > limitMs) return undefined;
      this.#keeper.send({ type: 'read-now' });
      await new Promise((resolve) => {
        setTimeout(resolve, READ_POLL_MS);
      });
    }
  }

  /** Asks other nodes for the state of a job. */
  async #findElsewhere(
    id: string,
    queue: QueueConfig,
  ): Promise<{ state: JobState | undefined; isCurrent: boolean }> {
    const found = await this.#relay.findState(id);
    if (found === undefined) return { state: undefined, isCurrent: false };
    const state = JobState.safeParse(found.state).data;
    return { state: found.queue === queue.name ? state : undefined, isCurrent: true };
  }

  #find(id: string): Promise<JobAnswer> {
    return this.#keeper.ask<JobAnswer>((reply) => ({ type: 'find', id, reply }));
  }

  /** Tells another node whether records reach the store from here. */
  override async canWrite(): Promise<boolean> {
    const canWrite = await this.#writer.ask<boolean>((reply) => ({ type: 'can-write', reply }));
    const { isInContact } = await this.#keeper.ask<FollowState>((reply) => ({
      type: 'tell-state',
      reply,
    }));
    return canWrite && isInContact;
  }

  /** Appends a record for another node, without asking further nodes. */
  override write(key: string, value: string, timeoutMs: number): Promise<WriteOutcome> {
    const giveUpAt = this.#parts.clock.readMonotonic() + timeoutMs;
    return this.#writer.ask<WriteOutcome>(
      (reply) => ({ type: 'write', record: { key, value }, giveUpAt, reply }),
      timeoutMs + WRITE_MARGIN_MS,
    );
  }

  /** Tells the owner of a token whether this node is in contact with the store. */
  override readContact(token: number): boolean {
    return this.#readContact(token);
  }

  /** Tells another node the state of a job, if the state here is current. */
  override async findState(
    id: string,
  ): Promise<{ state: string | null; queue: string | null } | undefined> {
    const found = await this.#readOn(id, PEER_STATE_LIMIT_MS);
    if (found === undefined) return undefined;
    const { state, queue, follow } = found;
    if (!follow.isCurrent || !this.#isFresh(follow.freshAt)) return undefined;
    return { state: state ?? null, queue: queue ?? null };
  }

  /** Appends a record, through another node where this one cannot reach the store. */
  async #writeAnyhow(key: string, value: string, patienceMs: number): Promise<WriteOutcome> {
    const startedAt = this.#parts.clock.readMonotonic();
    const limitMs = Math.max(0, patienceMs - ANSWER_MARGIN_MS);
    const outcome = await this.write(key, value, limitMs);
    if (outcome === 'stored') return outcome;
    const restMs = limitMs - (this.#parts.clock.readMonotonic() - startedAt);
    if (restMs < MIN_RELAY_MS) return outcome;
    const relayed = await this.#relay.write(key, value, Math.min(restMs, MAX_RELAY_MS));
    this.#parts.log.record('write-relayed', key, { outcome, relayed });
    // What this node may have appended stays unknown, whatever another node says.
    return relayed === 'not-stored' ? outcome : relayed;
  }

  #isFresh(freshAt: number | undefined): boolean {
    const now = this.#parts.clock.readMonotonic();
    return freshAt !== undefined && now - freshAt <= MAX_STATE_AGE_MS;
  }

  static #toAnswer(outcome: WriteOutcome, stored: CallAnswer): CallAnswer {
    if (outcome === 'stored') return stored;
    if (outcome === 'unknown') return { type: 'unknown' };
    return { type: 'refused', reason: 'the store takes no records', retryAfterMs: STORE_RETRY_MS };
  }
}
