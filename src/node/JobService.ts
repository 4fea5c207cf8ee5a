import {
  encodeAcceptedJob,
  WorkLogKey,
  type AcceptedJob,
  type WorkLogChange,
  type WorkLogView,
} from '../workLog/mod.js';
import type { KeyedValue, QueueConfig } from '../port/mod.js';
import type { JobSpec } from '../task/mod.js';
import { SubmissionLimiter } from '../organisation/mod.js';
import type { WorkLogFollower } from './WorkLogFollower.js';
import { CallAccess } from './CallAccess.js';
import { CallGate } from './CallGate.js';
import type { CallResponse } from './CallResponse.js';
import { JobFinder, MAX_STATE_AGE_MS } from './JobFinder.js';
import type { NodeContext } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';
import { QueueTable, type QueueMatch } from './QueueTable.js';
import { refuseImpossible } from './refuseImpossible.js';
import { refuseTooLarge } from './refuseTooLarge.js';
import type { RelayClient } from './RelayClient.js';
import { RelayApi, type PeerJobState, type RelayedWriteLimit } from './RelayRouter.js';
import { RetryAdvisor } from './RetryAdvisor.js';
import type { FollowerState } from './TopicFollower.js';
import type { WorkLogWriter, WriteOutcome } from './WorkLogWriter.js';

/** Retry delay in ms for callers that ask for a job while the state is not current. */
const STATE_RETRY_AFTER_MS = 1_000;
/** Retry delay in ms for callers while the node has no current configuration. */
const STARTUP_RETRY_AFTER_MS = 500;

/** Time in ms that a query of a peer waits for the work log to catch up; the peer waits 400 ms. */
const PEER_CATCH_UP_TIMEOUT_MS = 300;

/** Time in ms that a submission beyond the rate waits for the work log before it is refused. */
const LIMIT_CATCH_UP_TIMEOUT_MS = 300;

/** Part of the caller's timeout that is reserved for sending the response, in ms. */
const RESPONSE_MARGIN_MS = 150;
/** Minimum and maximum time in ms for relaying a write through another node. */
const MIN_RELAY_TIMEOUT_MS = 100;
const MAX_RELAY_TIMEOUT_MS = 700;
/** Length of the path of an unauthorized call in log lines; an identifier has 16 characters. */
const MAX_SUBJECT_LENGTH = 64;
/**
 * Added to the timeout of a request to the writer, in ms. The writer itself replies in time unless
 * it has been closed.
 */
const WRITE_MARGIN_MS = 2_000;

/** Options of a call. */
export interface CallOptions {
  /** API key that the call carries. */
  key?: string | undefined;
  /** Time in ms that the caller waits for a response; by default that of the queue. */
  timeoutMs?: number | undefined;
}

/** Conditions of a write. */
interface WriteOptions {
  timeoutMs: number;
  /** Computes for how long, in ms, the record may still be appended; by default without a limit. */
  computeValidity?: (() => number) | undefined;
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

  readonly #finder: JobFinder;

  readonly #gate: CallGate;

  readonly #limiter: SubmissionLimiter;

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
    this.#finder = new JobFinder(context, { workLog, relay });
    this.#gate = new CallGate(context);
    this.#limiter = new SubmissionLimiter(context.settings.shard.rateWindowMs);
  }

  /** Checks whether new callers with API keys may be sent to this node. */
  get isReady(): boolean {
    return this.#gate.isReady;
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
    this.#gate.setOperatorState(state);
    const { organisations } = this.#gate;
    if (organisations !== undefined) this.#limiter.setOrganisations(organisations);
  }

  /** Applies changes of the work log: submissions of all nodes and the load of the pools. */
  applyWorkLog(changes: readonly WorkLogChange[], { poolLoad }: WorkLogView): void {
    changes.forEach((change) => {
      if (change.type === 'job' || change.type === 'resubmitted') {
        this.#limiter.recordJob(change.job);
      } else if (change.type === 'removed') this.#limiter.removeJob(change.id);
    });
    this.#limiter.setPoolLoad(poolLoad, this.#context.clock.read());
  }

  /** Finds the queue of a call with an API key, or the response if there is none or it is refused. */
  findQueue(hostName: string, path: string, key?: string): QueueMatch | CallResponse {
    const match = this.#queueTable?.find(hostName, path);
    if (match !== undefined) {
      const subject = match.rest.slice(0, MAX_SUBJECT_LENGTH);
      const call = { queue: match.queue, key, subject };
      const access = this.#gate.authorize(call);
      // Other refusals depend on whether a write for the caller is open.
      const isUnauthorized = !(access instanceof CallAccess) && access.type === 'unauthorized';
      return isUnauthorized ? this.#gate.report(call, access) : match;
    }
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
  submit(
    id: string,
    queue: QueueConfig,
    spec: JobSpec,
    { key, timeoutMs = queue.timeoutMs }: CallOptions = {},
  ): Promise<CallResponse> {
    const startedAt = this.#context.clock.readMonotonic();
    const run = async (access: CallAccess): Promise<CallResponse> => {
      let known = await this.#finder.find(id);
      let overLimit = this.#refuseOverLimit(queue, access);
      if (overLimit !== undefined && known.queue === undefined) {
        // Only a job that is not in the log yet may be refused as one that never runs.
        const found = await this.#finder.findAfterCatchUp(id, LIMIT_CATCH_UP_TIMEOUT_MS);
        if (found === undefined) overLimit = undefined;
        known = found ?? known;
      }
      const refusal = access.check();
      if (refusal !== undefined) return refusal;
      if (access.isForeign(known.organisation)) return { type: 'forbidden' };
      if (known.queue !== undefined) return this.#answerRepeated(id, known.queue, queue);
      const impossible = this.#refuseImpossible(spec, access.organisation);
      if (impossible !== undefined) return impossible;
      if (overLimit !== undefined) return overLimit;
      const job = this.#buildJob(queue, spec, access);
      const record = {
        key: WorkLogKey.job(id, job.dataCentre, access.organisation),
        value: encodeAcceptedJob(job),
      };
      const tooLarge = refuseTooLarge(record, this.#context.settings.store);
      if (tooLarge !== undefined) return tooLarge;
      const outcome = await this.#writeWithFallback(record, {
        timeoutMs,
        computeValidity: () => access.computeValidity(),
      });
      // The rate of this node's own callers is known before the record has been read.
      if (outcome === 'stored') this.#limiter.recordJob({ id, ...job });
      const tookMs = this.#context.clock.readMonotonic() - startedAt;
      this.#context.metrics.recordLatency('submit', tookMs);
      this.#context.log.record(`job-${outcome === 'stored' ? 'accepted' : outcome}`, id, {
        queue: queue.name,
        organisation: access.organisation,
        configuration: this.#operatorState?.configuration?.version,
        tookMs: Math.round(tookMs),
      });
      return this.#toResponse(outcome, { type: 'accepted' }, access);
    };
    const call = { queue, key, subject: id };
    return this.#gate.serve(call, run, () => this.#hasOpenWrite(id));
  }

  /**
   * Cancels a job; it counts as cancelled only once the cancellation is stored.
   *
   * The cancellation of an unknown job is stored, too: a write of the job may still be open in this
   * node, in another one or in the store, and it must not run if it is stored afterwards.
   */
  cancel(
    id: string,
    queue: QueueConfig,
    { key, timeoutMs = queue.timeoutMs }: CallOptions = {},
  ): Promise<CallResponse> {
    const run = async (access: CallAccess): Promise<CallResponse> => {
      const found = await this.#finder.findCurrent(id, queue);
      const { state, isCurrent } = found;
      const { organisation } = access;
      const isUnknown = state === undefined && isCurrent && !(await this.#hasOpenWrite(id));
      const refusal = access.check();
      if (refusal !== undefined) return refusal;
      if (access.isForeign(found.organisation)) return { type: 'forbidden' };
      if (found.hasOtherQueue) return { type: 'no-job' };
      if (state !== undefined && state !== 'queued' && state !== 'running') {
        return { type: 'cancelled' };
      }
      const record = {
        key:
          state === undefined
            ? WorkLogKey.earlyCancel(id, queue.name, organisation)
            : WorkLogKey.cancel(id),
        value: JSON.stringify({ atMs: this.#context.clock.readWall() }),
      };
      const outcome = await this.#writeWithFallback(record, {
        timeoutMs,
        computeValidity: () => access.computeValidity(),
      });
      this.#context.log.record('cancel', id, { queue: queue.name, state, outcome });
      return this.#toResponse(outcome, { type: isUnknown ? 'no-job' : 'cancelled' }, access);
    };
    return this.#gate.serve({ queue, key, subject: id }, run, async () => {
      const isOpen = await this.#isOpen(WorkLogKey.cancel(id));
      return isOpen || this.#hasOpen(WorkLogKey.earlyCancelPrefix(id));
    });
  }

  /** Describes the state of a job. */
  describe(id: string, queue: QueueConfig, { key }: CallOptions = {}): Promise<CallResponse> {
    return this.#gate.serve({ queue, key, subject: id }, async (access) => {
      const found = await this.#finder.findCurrent(id, queue);
      const { state, isCurrent, hasOtherQueue } = found;
      const isAbsent =
        state === undefined && isCurrent && (hasOtherQueue || !(await this.#hasOpenWrite(id)));
      const refusal = access.check();
      if (refusal !== undefined) return refusal;
      if (access.isForeign(found.organisation)) return { type: 'forbidden' };
      if (state !== undefined) return { type: 'state', state };
      if (isAbsent) return { type: 'no-job' };
      return {
        type: 'refused',
        reason: 'the state is not current',
        retryAfterMs: STATE_RETRY_AFTER_MS,
      };
    });
  }

  /** Counts the jobs of a queue of which no task has started. */
  countWaiting(queue: QueueConfig, { key }: CallOptions = {}): Promise<CallResponse> {
    return this.#gate.serve({ queue, key, subject: queue.name }, async (access) => {
      const count = await this.#workLog.ask<number>((reply) => ({
        type: 'count-waiting',
        queue: queue.name,
        reply,
      }));
      return access.check() ?? { type: 'waiting', count };
    });
  }

  #buildJob(queue: QueueConfig, spec: JobSpec, { organisation }: CallAccess): AcceptedJob {
    return {
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
      dataCentre: this.#context.settings.dataCentre,
      organisation,
      spec,
    };
  }

  /** Refuses a submission beyond the rate of its organisation if its pool has no capacity left. */
  #refuseOverLimit({ pool }: QueueConfig, { organisation }: CallAccess): CallResponse | undefined {
    const now = this.#context.clock.read();
    const retryAfterMs = this.#limiter.computeRefusal({ organisation, pool }, now);
    if (retryAfterMs === undefined) return undefined;
    const reason = 'the organisation exceeds its rate and the pool has no capacity left';
    return { type: 'over-limit', reason, retryAfterMs };
  }

  /** Refuses a job that the cap of its organisation never lets start. */
  #refuseImpossible(spec: JobSpec, name: string | undefined): CallResponse | undefined {
    const organisations = this.#operatorState?.configuration?.organisations;
    const organisation = organisations?.find((one) => one.name === name);
    if (organisation === undefined) return undefined;
    const { capOvershoot: overshoot } = this.#context.settings.shard;
    return refuseImpossible(spec, { organisation, overshoot });
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

  /**
   * Checks whether a write of this node may still store the job, for any organisation: the key of an
   * earlier call may have been removed in the meantime.
   */
  #hasOpenWrite(id: string): Promise<boolean> {
    return this.#hasOpen(WorkLogKey.jobPrefix(id));
  }

  #hasOpen(prefix: string): Promise<boolean> {
    return this.#writer.ask<boolean>((reply) => ({ type: 'has-open', prefix, reply }));
  }

  #isOpen(key: string): Promise<boolean> {
    return this.#writer.ask<boolean>((reply) => ({ type: 'is-open', key, reply }));
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

  /**
   * Appends a record of a peer, without relaying it. The API key of the call is valid at the peer for
   * `timeoutMs` from the receipt, by either clock, and until `expiresAtMs`. The clock of the peer may
   * be ahead, so the record is also appended only while this node has a current proof of the keys.
   */
  override write(
    key: string,
    value: string,
    { timeoutMs, expiresAtMs }: RelayedWriteLimit,
  ): Promise<WriteOutcome> {
    const { revocationLimitMs } = this.#context.settings;
    if (revocationLimitMs === undefined) return this.#write({ key, value }, { timeoutMs });
    const receivedAt = this.#context.clock.read();
    const computeValidity = (): number => {
      const now = this.#context.clock.read();
      const remainingMs = timeoutMs - receivedAt.computeAge(now);
      if (expiresAtMs === undefined) return remainingMs;
      return this.#gate.isCurrent ? Math.min(remainingMs, expiresAtMs - now.wallMs) : 0;
    };
    return this.#write({ key, value }, { timeoutMs, computeValidity });
  }

  /** Appends a record from this node only, without relaying it. */
  #write(record: KeyedValue, { timeoutMs, computeValidity }: WriteOptions): Promise<WriteOutcome> {
    const deadline = this.#context.clock.readMonotonic() + timeoutMs;
    const isAllowed = (): boolean => computeValidity === undefined || computeValidity() > 0;
    return this.#writer.ask<WriteOutcome>(
      (reply) => ({ type: 'write', record, deadline, isAllowed, reply }),
      timeoutMs + WRITE_MARGIN_MS,
    );
  }

  override checkStoreContact(token: number): boolean {
    return this.#checkStoreContact(token);
  }

  override async findState(id: string): Promise<PeerJobState | undefined> {
    const found = await this.#finder.findAfterCatchUp(id, PEER_CATCH_UP_TIMEOUT_MS);
    if (found === undefined) return undefined;
    const { state, queue, organisation, follow } = found;
    if (!follow.isCurrent || !this.#isFresh(follow.freshAt)) return undefined;
    return { state: state ?? null, queue: queue ?? null, organisation: organisation ?? null };
  }

  /** Appends a record, relaying it through another node if this one cannot store it. */
  async #writeWithFallback(
    record: { key: string; value: string },
    { timeoutMs, computeValidity }: WriteOptions,
  ): Promise<WriteOutcome> {
    const startedAt = this.#context.clock.readMonotonic();
    const limitMs = Math.max(0, timeoutMs - RESPONSE_MARGIN_MS);
    const outcome = await this.#write(record, { timeoutMs: limitMs, computeValidity });
    if (outcome === 'stored') return outcome;
    const remainingMs = limitMs - (this.#context.clock.readMonotonic() - startedAt);
    if (remainingMs < MIN_RELAY_TIMEOUT_MS) return outcome;
    const relayed = await this.#relay.write(record, {
      timeoutMs: Math.min(remainingMs, MAX_RELAY_TIMEOUT_MS),
      computeValidity,
    });
    this.#context.log.record('write-relayed', record.key, { outcome, relayed });
    // The next refusal for the record must not say that it is not stored.
    if (relayed === 'unknown') this.#writer.send({ type: 'mark-uncertain', key: record.key });
    // If this node may have appended the record, a peer that did not store it leaves that unknown.
    return relayed === 'not-stored' ? outcome : relayed;
  }

  #isFresh(freshAt: number | undefined): boolean {
    const now = this.#context.clock.readMonotonic();
    return freshAt !== undefined && now - freshAt <= MAX_STATE_AGE_MS;
  }

  #toResponse(outcome: WriteOutcome, stored: CallResponse, access: CallAccess): CallResponse {
    if (outcome === 'stored') {
      this.#retryAdvisor.recordStored();
      return stored;
    }
    if (outcome === 'unknown') return { type: 'unknown' };
    const refusal = access.check();
    if (refusal !== undefined) return refusal;
    const now = this.#context.clock.readMonotonic();
    this.#retryAdvisor.recordRefusal(now);
    return {
      type: 'refused',
      reason: 'the store takes no records',
      retryAfterMs: this.#retryAdvisor.computeRetryAfter(now),
    };
  }
}
