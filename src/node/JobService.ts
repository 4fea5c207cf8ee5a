import { WorkLogKey, JobState } from '../workLog/mod.js';
import type { QueueConfig } from '../port/mod.js';
import type { JobSpec } from '../task/mod.js';
import type { WorkLogFollower, JobLookup } from './WorkLogFollower.js';
import type { CallResponse } from './CallResponse.js';
import type { NodeContext } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';
import { QueueTable, type QueueMatch } from './QueueTable.js';
import type { RelayClient } from './RelayClient.js';
import { RelayApi } from './RelayRouter.js';
import { RetryAdvisor } from './RetryAdvisor.js';
import type { FollowerState } from './TopicFollower.js';
import type { WorkLogWriter, WriteOutcome } from './WorkLogWriter.js';

/** A job that is not finished is looked up again if the state is older than this, in ms. */
const MAX_ACTIVE_STATE_AGE_MS = 60;
/** Maximum age in ms of the state from which calls are answered. */
const MAX_STATE_AGE_MS = 1_500;
/** Retry delay in ms for callers that ask for a job while the state is not current. */
const STATE_RETRY_AFTER_MS = 1_000;
/** Retry delay in ms for callers while the node has no current configuration. */
const STARTUP_RETRY_AFTER_MS = 500;

/** Time in ms that a query of a peer waits for the work log to catch up; the peer waits 400 ms. */
const PEER_CATCH_UP_TIMEOUT_MS = 300;

/** Interval in ms at which the view is checked while the work log catches up. */
const CATCH_UP_POLL_INTERVAL_MS = 30;

/** Part of the caller's timeout that is reserved for sending the response, in ms. */
const RESPONSE_MARGIN_MS = 150;
/** Minimum and maximum time in ms for relaying a write through another node. */
const MIN_RELAY_TIMEOUT_MS = 100;
const MAX_RELAY_TIMEOUT_MS = 700;
/**
 * Added to the timeout of a request to the writer, in ms. The writer itself replies in time unless
 * it has been closed.
 */
const WRITE_MARGIN_MS = 2_000;

/** State of a job, from a view that is current or, if `isCurrent` is false, unknown. */
interface CurrentState {
  /** Undefined if no job of the queue has the identifier. */
  state: JobState | undefined;
  isCurrent: boolean;
  /** The identifier belongs to a job of another queue. */
  hasOtherQueue: boolean;
}

/** Options of a `JobService`: the actors that it calls. */
export interface JobServiceOptions {
  workLog: WorkLogFollower;
  writer: WorkLogWriter;
  relay: RelayClient;
  /** See `RelayApi.checkStoreContact`. */
  checkStoreContact: (token: number) => boolean;
}

/** Serves the calls of callers: submits, describes, cancels and counts jobs. */
export class JobService extends RelayApi {
  readonly #context: NodeContext;

  readonly #workLog: WorkLogFollower;

  readonly #writer: WorkLogWriter;

  readonly #relay: RelayClient;

  readonly #checkStoreContact: (token: number) => boolean;

  readonly #retryAdvisor = new RetryAdvisor(Math.random);

  #operatorState: OperatorState | undefined;

  #queueTable: QueueTable | undefined;

  #refusesRelays = false;

  constructor(
    context: NodeContext,
    { workLog, writer, relay, checkStoreContact }: JobServiceOptions,
  ) {
    super();
    this.#checkStoreContact = checkStoreContact;
    this.#relay = relay;
    this.#context = context;
    this.#workLog = workLog;
    this.#writer = writer;
  }

  /** Sets the operator's configuration and waves. */
  setOperatorState(state: OperatorState): void {
    if (
      state.configuration !== undefined &&
      state.configuration !== this.#operatorState?.configuration
    ) {
      this.#queueTable = new QueueTable(state.configuration);
    }
    this.#operatorState = state;
  }

  /** Finds the queue of a call, or the response if there is none. */
  findQueue(hostName: string, path: string): QueueMatch | CallResponse {
    const match = this.#queueTable?.find(hostName, path);
    if (match !== undefined) return match;
    if (this.#queueTable === undefined || !this.#isFresh(this.#operatorState?.freshAt)) {
      return {
        type: 'refused',
        reason: 'the configuration is not known',
        retryAfterMs: STARTUP_RETRY_AFTER_MS,
      };
    }
    return { type: 'no-queue' };
  }

  /**
   * Stores a job; it is accepted only once it is stored.
   *
   * A job that is known to be stored is not stored again: its first record stays the newest one.
   */
  async submit(
    id: string,
    queue: QueueConfig,
    spec: JobSpec,
    timeoutMs = queue.timeoutMs,
  ): Promise<CallResponse> {
    const startedAt = this.#context.clock.readMonotonic();
    const known = await this.#queryWorkLog(id);
    if (known.queue !== undefined) return this.#answerRepeated(id, known.queue, queue);
    const { dataCentre } = this.#context.settings;
    const value = JSON.stringify({
      queue: queue.name,
      pool: queue.pool,
      rule: {
        priority: queue.priority,
        maxAttempts: queue.maxAttempts,
        stretch: queue.stretch,
        latencyTargetMs: queue.latencyTargetMs,
        advice: queue.advice,
      },
      submittedAtMs: this.#context.clock.readWall(),
      dataCentre,
      spec,
    });
    const key = WorkLogKey.job(id, dataCentre);
    const outcome = await this.#writeWithFallback(key, value, timeoutMs);
    const tookMs = this.#context.clock.readMonotonic() - startedAt;
    this.#context.metrics.recordLatency('submit', tookMs);
    this.#context.log.record(`job-${outcome === 'stored' ? 'accepted' : outcome}`, id, {
      queue: queue.name,
      configuration: this.#operatorState?.configuration?.version,
      tookMs: Math.round(tookMs),
    });
    return this.#toResponse(outcome, { type: 'accepted' });
  }

  /**
   * Cancels a job; it counts as cancelled only once the cancellation is stored.
   *
   * The cancellation of an unknown job is stored, too: a write of the job may still be open in this
   * node, in another one or in the store, and it must not run if it is stored afterwards.
   */
  async cancel(id: string, queue: QueueConfig, timeoutMs = queue.timeoutMs): Promise<CallResponse> {
    const { state, isCurrent, hasOtherQueue } = await this.#findCurrent(id, queue);
    if (hasOtherQueue) return { type: 'no-job' };
    if (state !== undefined && state !== 'queued' && state !== 'running') {
      return { type: 'cancelled' };
    }
    const value = JSON.stringify({ atMs: this.#context.clock.readWall() });
    const isUnknown = state === undefined && isCurrent && !(await this.#hasOpenWrite(id));
    const key =
      state === undefined ? WorkLogKey.earlyCancel(id, queue.name) : WorkLogKey.cancel(id);
    const outcome = await this.#writeWithFallback(key, value, timeoutMs);
    this.#context.log.record('cancel', id, { queue: queue.name, state, outcome });
    return this.#toResponse(outcome, { type: isUnknown ? 'no-job' : 'cancelled' });
  }

  /** Describes the state of a job. */
  async describe(id: string, queue: QueueConfig): Promise<CallResponse> {
    const { state, isCurrent, hasOtherQueue } = await this.#findCurrent(id, queue);
    if (state !== undefined) return { type: 'state', state };
    if (isCurrent && (hasOtherQueue || !(await this.#hasOpenWrite(id)))) return { type: 'no-job' };
    return {
      type: 'refused',
      reason: 'the state is not current',
      retryAfterMs: STATE_RETRY_AFTER_MS,
    };
  }

  /** Counts the jobs of a queue of which no task has started. */
  async countWaiting(queue: QueueConfig): Promise<CallResponse> {
    const count = await this.#workLog.ask<number>((reply) => ({
      type: 'count-waiting',
      queue: queue.name,
      reply,
    }));
    return { type: 'waiting', count };
  }

  /** Finds a job, querying other nodes if the work log of this one does not catch up. */
  async #findCurrent(id: string, queue: QueueConfig): Promise<CurrentState> {
    const found = await this.#findAfterCatchUp(id, MAX_STATE_AGE_MS);
    if (found === undefined) return this.#findOnPeers(id, queue);
    return JobService.#toCurrentState(found, queue);
  }

  /**
   * Finds a job. A job that is not in the view may just have been accepted by another node, so this
   * waits until the follower has read the log up to the time of the call. Returns undefined if that
   * takes longer than `timeoutMs` or the last read failed.
   */
  async #findAfterCatchUp(id: string, timeoutMs: number): Promise<JobLookup | undefined> {
    const calledAt = this.#context.clock.readMonotonic();
    let hasReadAgain = false;
    for (;;) {
      const lookup = await this.#queryWorkLog(id);
      const { follow } = lookup;
      if (lookup.state !== undefined) {
        // One read more shows whether the job has finished; callers do not wait longer for it.
        const isFresh = follow.freshAt >= calledAt - MAX_ACTIVE_STATE_AGE_MS;
        const isActive = lookup.state === 'queued' || lookup.state === 'running';
        if (!isActive || isFresh || hasReadAgain || !follow.isInContact) return lookup;
      }
      if (follow.isCurrent && follow.freshAt >= calledAt) return lookup;
      const waitedMs = this.#context.clock.readMonotonic() - calledAt;
      if (!follow.isInContact || waitedMs > timeoutMs) return undefined;
      this.#workLog.send({ type: 'read-now' });
      hasReadAgain = true;
      await new Promise((resolve) => {
        setTimeout(resolve, CATCH_UP_POLL_INTERVAL_MS);
      });
    }
  }

  /** Queries other nodes for the state of a job. */
  async #findOnPeers(id: string, queue: QueueConfig): Promise<CurrentState> {
    const found = await this.#relay.findState(id);
    if (found === undefined) return { state: undefined, isCurrent: false, hasOtherQueue: false };
    const state = JobState.safeParse(found.state).data;
    return JobService.#toCurrentState({ state, queue: found.queue ?? undefined }, queue);
  }

  static #toCurrentState(
    { state, queue }: Pick<JobLookup, 'state' | 'queue'>,
    { name }: QueueConfig,
  ): CurrentState {
    const hasOtherQueue = queue !== undefined && queue !== name;
    return { state: hasOtherQueue ? undefined : state, isCurrent: true, hasOtherQueue };
  }

  /** Answers the submission of a job whose identifier is known. */
  #answerRepeated(id: string, knownQueue: string, { name }: QueueConfig): CallResponse {
    this.#context.log.record('job-repeated', id, { queue: name, knownQueue });
    if (knownQueue === name) return { type: 'accepted' };
    return {
      type: 'refused',
      reason: `the identifier belongs to a job of queue "${knownQueue}"`,
      retryAfterMs: this.#context.settings.retentionMs,
    };
  }

  /** Checks whether a write of this node may still store the job. */
  #hasOpenWrite(id: string): Promise<boolean> {
    const key = WorkLogKey.job(id, this.#context.settings.dataCentre);
    return this.#writer.ask<boolean>((reply) => ({ type: 'is-open', key, reply }));
  }

  #queryWorkLog(id: string): Promise<JobLookup> {
    return this.#workLog.ask<JobLookup>((reply) => ({ type: 'find', id, reply }));
  }

  /** Makes this node report to others that it appends nothing for them, since it is stopping. */
  refuseRelays(): void {
    this.#refusesRelays = true;
  }

  override async canWrite(): Promise<boolean> {
    if (this.#refusesRelays) return false;
    const canWrite = await this.#writer.ask<boolean>((reply) => ({ type: 'can-write', reply }));
    const { isInContact } = await this.#workLog.ask<FollowerState>((reply) => ({
      type: 'get-state',
      reply,
    }));
    return canWrite && isInContact;
  }

  /** Appends a record from this node only, without relaying it. */
  override write(key: string, value: string, timeoutMs: number): Promise<WriteOutcome> {
    const deadline = this.#context.clock.readMonotonic() + timeoutMs;
    return this.#writer.ask<WriteOutcome>(
      (reply) => ({ type: 'write', record: { key, value }, deadline, reply }),
      timeoutMs + WRITE_MARGIN_MS,
    );
  }

  override checkStoreContact(token: number): boolean {
    return this.#checkStoreContact(token);
  }

  override async findState(
    id: string,
  ): Promise<{ state: string | null; queue: string | null } | undefined> {
    const found = await this.#findAfterCatchUp(id, PEER_CATCH_UP_TIMEOUT_MS);
    if (found === undefined) return undefined;
    const { state, queue, follow } = found;
    if (!follow.isCurrent || !this.#isFresh(follow.freshAt)) return undefined;
    return { state: state ?? null, queue: queue ?? null };
  }

  /** Appends a record, relaying it through another node if this one cannot store it. */
  async #writeWithFallback(key: string, value: string, timeoutMs: number): Promise<WriteOutcome> {
    const startedAt = this.#context.clock.readMonotonic();
    const limitMs = Math.max(0, timeoutMs - RESPONSE_MARGIN_MS);
    const outcome = await this.write(key, value, limitMs);
    if (outcome === 'stored') return outcome;
    const remainingMs = limitMs - (this.#context.clock.readMonotonic() - startedAt);
    if (remainingMs < MIN_RELAY_TIMEOUT_MS) return outcome;
    const relayed = await this.#relay.write(
      key,
      value,
      Math.min(remainingMs, MAX_RELAY_TIMEOUT_MS),
    );
    this.#context.log.record('write-relayed', key, { outcome, relayed });
    // If this node may have appended the record, a peer that did not store it leaves that unknown.
    return relayed === 'not-stored' ? outcome : relayed;
  }

  #isFresh(freshAt: number | undefined): boolean {
    const now = this.#context.clock.readMonotonic();
    return freshAt !== undefined && now - freshAt <= MAX_STATE_AGE_MS;
  }

  #toResponse(outcome: WriteOutcome, stored: CallResponse): CallResponse {
    if (outcome === 'stored') {
      this.#retryAdvisor.recordStored();
      return stored;
    }
    if (outcome === 'unknown') return { type: 'unknown' };
    const now = this.#context.clock.readMonotonic();
    this.#retryAdvisor.recordRefusal(now);
    return {
      type: 'refused',
      reason: 'the store takes no records',
      retryAfterMs: this.#retryAdvisor.computeRetryAfter(now),
    };
  }
}
