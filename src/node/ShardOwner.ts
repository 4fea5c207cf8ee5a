import { Actor } from '../actor/mod.js';
import {
  findProgressJob,
  type Successor,
  type TrackedJob,
  type WaveRecord,
  type WorkLogChange,
} from '../workLog/mod.js';
import type { HostRecord } from '../port/mod.js';
import {
  Shard,
  type ReportResult,
  type ManagedHost,
  type ShardCommand,
  type Takeover,
} from '../schedule/mod.js';
import type { ScheduledJob } from '../schedule/ScheduledJob.js';
import { CommandExecutor, type MachineCommand } from './_CommandExecutor.js';
import { HostFollower } from './HostFollower.js';
import { HostLink, type HoldOutcome } from './HostLink.js';
import { HoldScheduler } from './HoldScheduler.js';
import { LagMeter } from './LagMeter.js';
import { OwnerOutput } from './_OwnerOutput.js';
import { MachineLister } from './_MachineLister.js';
import { PendingOrders } from './_PendingOrders.js';
import { OwnerRecords, type OwnerAppend } from './_OwnerRecords.js';
import { OwnershipCheck } from './OwnershipCheck.js';
import type { NodeContext } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';
import { StartPolicy, type StartPermit } from './StartPolicy.js';
import { OwnerWriter, type OwnerWriteResult } from './OwnerWriter.js';
import { computeRecordInterval } from './computeRecordInterval.js';
import { computeSilenceLimit } from './computeSilenceLimit.js';

/** Interval in ms between plans if there are no events. */
const TICK_INTERVAL_MS = 50;
/** Delay in ms before a plan, so that it covers events that arrive together. */
const PLAN_DELAY_MS = 3;
/** Maximum delay in ms before a plan, and before the next hold of a host, of an overloaded owner. */
const MAX_SHED_PLAN_DELAY_MS = 100;
const MAX_SHED_HOLD_PAUSE_MS = 500;
/** Mean lag in ms up to which an owner sheds no work. */
const SHED_ABOVE_LAG_MS = 20;
/** Delay in ms before an append, so that it covers ends that arrive together. */
const FLUSH_DELAY_MS = 4;
/** Reason of the end of an ownership whose release is stored. */
const RELEASED = 'the shard was released';

/** Messages of a `ShardOwner`. */
export type ShardOwnerMessage =
  | { type: 'tick' }
  | { type: 'plan' }
  | { type: 'flush' }
  /** `end` is the offset up to which the work log has been read. */
  | { type: 'work-log'; changes: readonly WorkLogChange[]; end: number }
  | { type: 'operator'; state: OperatorState }
  | { type: 'hosts'; records: HostRecord[] }
  | { type: 'hold-result'; host: ManagedHost; outcome: HoldOutcome; sentAt: number }
  | { type: 'apply-outcome'; apply: (shard: Shard) => ReportResult }
  | { type: 'append-result'; result: OwnerWriteResult; batch: AppendBatch }
  /** Releases the shard to the successor, if one is known; no order is given afterwards. */
  | { type: 'release'; successor?: Successor | undefined; reply: (isDone: boolean) => void };

/** Ends of a host up to a sequence number, in the incarnation after its restarts so far. */
interface RecordedEnd {
  host: ManagedHost;
  sequence: number;
  restartCount: number;
}

/** Contents of an append whose effects depend on its result. */
interface AppendBatch {
  append: OwnerAppend;
  jobs: ScheduledJob[];
  /** Highest end of each host that was processed before the append. */
  ends: RecordedEnd[];
  isRelease: boolean;
  /** Machine orders that the append records and that are sent after it succeeded. */
  machineOrders: MachineCommand[];
  /** Gaps in the activity of the owner before the append was sent. */
  gaps: number;
}

/** Options of a `ShardOwner`: its initial state and callbacks. */
export interface ShardOwnerOptions {
  takeover: Takeover;
  jobs: readonly TrackedJob[];
  /** Keys of cancellations of jobs that are not known. */
  earlyCancels: readonly string[];
  waves: ReadonlyMap<number, WaveRecord>;
  operator: OperatorState | undefined;
  /** Called once, when the ownership has ended. */
  onLost: (reason: string) => void;
  /** Checks whether all other nodes respond and none of them is in contact with the store. */
  isStoreUnreachable: () => Promise<boolean>;
  /** Decides whether an owner that does not keep up leaves the shard to a faster node. */
  considerHandOver: () => boolean;
  /** Called when tasks of all jobs may be started without being recorded. */
  onUnrecordedStarts: () => void;
}

/** Owns a shard: passes events to `Shard`, which decides, and executes the resulting commands. */
export class ShardOwner extends Actor<ShardOwnerMessage> {
  readonly #context: NodeContext;

  readonly #options: ShardOwnerOptions;

  readonly #shard: Shard;

  readonly #output: OwnerOutput;

  readonly #writer: OwnerWriter;

  readonly #executor: CommandExecutor;

  readonly #hostFollower: HostFollower;

  readonly #holdSchedulers = new Map<ManagedHost, HoldScheduler>();

  readonly #waveRecords: Map<number, WaveRecord>;

  readonly #ownershipCheck: OwnershipCheck;

  readonly #lag = new LagMeter(TICK_INTERVAL_MS);

  readonly #tickTimer: NodeJS.Timeout;

  readonly #records: OwnerRecords;

  #isPlanScheduled = false;

  #isAppending = false;

  #isFlushScheduled = false;

  readonly #startPolicy: StartPolicy;

  readonly #orders: PendingOrders;

  readonly #machineLister: MachineLister;

  #lastAppendAt: number;

  /** Offset up to which the work log has been read. */
  #readTo: number;

  #release: (ShardOwnerMessage & { type: 'release' }) | undefined;

  constructor(context: NodeContext, options: ShardOwnerOptions) {
    super(context.scope, 'shard-owner');
    const { takeover, operator } = options;
    this.#context = context;
    this.#options = options;
    this.#output = new OwnerOutput(context);
    this.#shard = new Shard(takeover, context.settings.shard, {
      clock: context.clock,
      output: this.#output,
    });
    this.#records = new OwnerRecords(context, this.#shard);
    this.#readTo = takeover.claimOffset;
    this.#writer = new OwnerWriter(context, takeover);
    this.#lastAppendAt = context.clock.readMonotonic();
    this.#executor = new CommandExecutor(context, {
      token: takeover.token,
      findLink: (host) => this.#holdSchedulers.get(host)?.link,
      canOrderMachine: (command) => this.#canOrderMachine(command),
      isAdviceWanted: (step) => this.#shard.isAdviceWanted(step),
      applyOutcome: (apply) => this.send({ type: 'apply-outcome', apply }),
    });
    this.#orders = new PendingOrders(this.#shard, context.settings.dataCentre);
    this.#machineLister = new MachineLister(context, (machines, listedAt) => {
      const apply = (shard: Shard): ReportResult => {
        shard.updateMachines(machines, listedAt);
        return 'ok';
      };
      this.send({ type: 'apply-outcome', apply });
    });
    this.#startPolicy = new StartPolicy({
      readClock: () => context.clock.readMonotonic(),
      isStoreUnreachable: options.isStoreUnreachable,
      onStoreUnreachable: options.onUnrecordedStarts,
    });
    this.#ownershipCheck = new OwnershipCheck(context.clock);
    this.#waveRecords = new Map(options.waves);
    if (operator !== undefined) this.#applyOperator(operator);
    this.#shard.organisations.recordSubmissions(options.jobs);
    this.#applyEach('jobs', options.jobs, (job) => this.#addJob(job));
    options.earlyCancels.forEach((key) => this.#records.addEarlyCancel(key));
    this.#hostFollower = new HostFollower(context, (records) =>
      this.send({ type: 'hosts', records }),
    );
    this.#tickTimer = setInterval(() => this.send({ type: 'tick' }), TICK_INTERVAL_MS);
  }

  get token(): number {
    return this.#options.takeover.token;
  }

  protected override receive(message: ShardOwnerMessage): void {
    if (this.#hasLostContact()) {
      this.#endOwnership('no contact with the store');
      return;
    }
    this.#recordActivity();
    // Under load the tick waits behind other messages, but other nodes wait for the heartbeat.
    if (this.#isHeartbeatDue) this.#flush();
    switch (message.type) {
      case 'tick':
        this.#handleTick();
        return;
      case 'plan':
        this.#isPlanScheduled = false;
        this.#plan('starts');
        return;
      case 'flush':
        this.#isFlushScheduled = false;
        this.#flush();
        return;
      case 'work-log':
        this.#readTo = message.end;
        this.#applyEach('work-log', message.changes, (change) => this.#applyChange(change));
        break;
      case 'operator':
        this.#applyOperator(message.state);
        break;
      case 'hosts':
        this.#applyHosts(message.records);
        break;
      case 'hold-result':
        this.#handleHoldResult(message.host, message.outcome, message.sentAt);
        break;
      case 'apply-outcome':
        this.#handleLedgerResult(message.apply(this.#shard));
        break;
      case 'append-result':
        this.#handleAppendResult(message.result, message.batch);
        break;
      default:
        this.#release = message;
        this.#flush();
    }
    this.#schedulePlan();
  }

  override close(): void {
    clearInterval(this.#tickTimer);
    this.#output.close();
    this.#executor.close();
    this.#writer.close();
    this.#hostFollower.close();
    this.#holdSchedulers.forEach((scheduler) => scheduler.close());
    this.#holdSchedulers.clear();
    super.close();
  }

  #recordActivity(): void {
    const gapMs = this.#ownershipCheck.recordActivity();
    if (gapMs === 0) return;
    this.#context.log.record('owner-delayed', String(this.token), { gapMs: Math.round(gapMs) });
  }

  /** Checks whether the last successful append is so old that the owner must give up the shard. */
  #hasLostContact(): boolean {
    const sinceAppendMs = this.#context.clock.readMonotonic() - this.#lastAppendAt;
    return sinceAppendMs > this.#context.settings.shard.detachedLimitMs;
  }

  #endOwnership(reason: string): void {
    if (this.isClosed) return;
    this.#context.log.record('ownership-lost', String(this.token), { reason });
    this.close();
    this.#release?.reply(reason === RELEASED);
    this.#options.onLost(reason);
  }

  #handleTick(): void {
    this.#lag.recordTick(this.#context.clock.readMonotonic());
    if (this.#lag.isOverloaded) this.#releaseIfPossible();
    this.#machineLister.listIfNeeded(this.#shard);
    this.#plan('all');
    this.#flush();
  }

  /**
   * Computes a delay in ms, up to a maximum, with which an owner that does not keep up handles more
   * events at once: later holds and plans cost callers less than a change of the owner.
   */
  #computeShedDelay(maxMs: number): number {
    const { meanMs } = this.#lag;
    return meanMs <= SHED_ABOVE_LAG_MS ? 0 : Math.min(maxMs, 2 * meanMs);
  }

  /** Releases the shard if a faster node can own it. */
  #releaseIfPossible(): void {
    if (this.#release !== undefined || !this.#options.considerHandOver()) return;
    const lagMs = Math.round(this.#lag.meanMs);
    this.#context.log.record('owner-overloaded', String(this.token), { lagMs });
    this.send({ type: 'release', reply: () => undefined });
  }

  #schedulePlan(): void {
    if (this.#isPlanScheduled || this.isClosed) return;
    this.#isPlanScheduled = true;
    const delayMs = Math.max(PLAN_DELAY_MS, this.#computeShedDelay(MAX_SHED_PLAN_DELAY_MS));
    setTimeout(() => this.send({ type: 'plan' }), delayMs);
  }

  #plan(scope: 'all' | 'starts'): void {
    if (this.#release !== undefined || !this.#ownershipCheck.isConfirmed) return;
    const startedAt = this.#context.clock.readMonotonic();
    const sinceAppendMs = startedAt - this.#lastAppendAt;
    const { ownerSilenceMs } = this.#context.settings;
    // No other node claims the shard before this limit, which follows from the last stored record.
    const limitMs = computeSilenceLimit(ownerSilenceMs, this.#records.announcedIntervalMs);
    this.#shard.setDetached(sinceAppendMs > limitMs);
    this.#setPermit(this.#startPolicy.choosePermit(sinceAppendMs, this.#writer.latencyMs));
    if (scope === 'all') this.#shard.plan();
    else this.#shard.planStarts();
    this.#context.metrics.recordLatency('plan', this.#context.clock.readMonotonic() - startedAt);
    this.#runCommands();
    // A start is ordered only after it was recorded, so it is flushed now; ends can wait. The plan
    // delay has already batched the events that arrived together.
    if (this.#orders.hasStarts) this.#flush();
    else this.#scheduleFlush();
  }

  #setPermit(permit: StartPermit): void {
    const { isRecorded, rule } = this.#orders.permit;
    if (permit.isRecorded !== isRecorded || permit.rule !== rule) {
      this.#context.log.record('start-permit', String(this.token), { ...permit });
    }
    // Pending starts are ordered without a record, or keep waiting if that is not permitted.
    this.#orders.setPermit(permit).forEach((start) => this.#runCommand(start));
  }

  get #hasPendingRecords(): boolean {
    return this.#shard.hasDirtyRecords || this.#orders.hasUnrecorded;
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled || !this.#hasPendingRecords || this.isClosed) return;
    this.#isFlushScheduled = true;
    setTimeout(() => this.send({ type: 'flush' }), FLUSH_DELAY_MS);
  }

  #runCommands(): void {
    this.#output.commands.splice(0).forEach((command) => this.#runCommand(command));
    this.#holdSchedulers.forEach((scheduler) => scheduler.holdIfNeeded());
  }

  #runCommand(command: ShardCommand): void {
    if (command.type === 'start' && this.#orders.addStart(command)) return;
    // The order is recorded before it is sent, so that a successor knows about it.
    if (command.type === 'move' || command.type === 'maintain')
      this.#orders.addMachineOrder(command);
    else this.#executor.run(command);
  }

  /** Sends the recorded orders; they wait for the next append if a gap has followed their own. */
  #orderRecorded(machineOrders: readonly MachineCommand[]): void {
    if (!this.#ownershipCheck.isConfirmed) {
      this.#orders.restoreRecorded(machineOrders);
      return;
    }
    this.#orders.takeRecordedStarts().forEach((start) => this.#executor.run(start));
    machineOrders.forEach((one) => this.#executor.run(one));
  }

  /**
   * Checks whether a machine order may be sent now: nobody may have claimed the shard, it is not being
   * released, and the machine has not changed since the order was planned.
   */
  #canOrderMachine(command: MachineCommand): boolean {
    this.#recordActivity();
    if (this.#release !== undefined || !this.#ownershipCheck.isConfirmed) return false;
    return this.#shard.isMachineOrderWanted(command);
  }

  #handleLedgerResult(result: ReportResult): void {
    if (result === 'fenced') this.#endOwnership('a later owner has issued orders');
    this.#closeEndedHosts();
  }

  #handleHoldResult(host: ManagedHost, outcome: HoldOutcome, sentAt: number): void {
    const scheduler = this.#holdSchedulers.get(host);
    if (scheduler === undefined) return;
    if (outcome.type === 'report') {
      const result = this.#shard.reportHold(host, outcome.report, sentAt);
      scheduler.handleReport(outcome.report);
      this.#handleLedgerResult(result);
      return;
    }
    const reason = outcome.type === 'failed' ? outcome.error.message : outcome.reason;
    this.#context.log.record('hold-failed', host.id, { reason, silentCalls: host.silentCalls + 1 });
    const result = this.#shard.reportHoldFailure(host, reason);
    scheduler.handleReport(undefined);
    this.#handleLedgerResult(result);
  }

  /** Applies items one by one; an error in one of them is reported and does not affect the others. */
  #applyEach<T>(what: string, items: readonly T[], apply: (item: T) => void): void {
    items.forEach((item) => {
      try {
        apply(item);
      } catch (error) {
        this.scope.reportError(
          `${this.name}/${what}`,
          error instanceof Error ? error : new Error(String(error)),
        );
      }
    });
  }

  /** Closes the links to hosts whose incarnation has ended. */
  #closeEndedHosts(): void {
    this.#holdSchedulers.forEach((scheduler, host) => {
      if (!host.hasEnded) return;
      scheduler.close();
      this.#holdSchedulers.delete(host);
    });
  }

  #applyHosts(records: readonly HostRecord[]): void {
    this.#applyEach('hosts', records, (record) => {
      if (record.type === 'gone') this.#shard.removeHost(record.id);
      if (record.type !== 'entry') return;
      const { host, isNew } = this.#shard.updateHost(record.entry);
      this.#holdSchedulers.get(host)?.followAddress();
      if (!isNew || this.#holdSchedulers.has(host)) return;
      this.#holdSchedulers.set(
        host,
        new HoldScheduler(host, new HostLink(this.#context, record.entry), {
          token: this.token,
          leaseMs: this.#context.settings.shard.leaseMs,
          readClock: () => this.#context.clock.readMonotonic(),
          getPauseMs: () => this.#computeShedDelay(MAX_SHED_HOLD_PAUSE_MS),
          onHoldResult: (heldHost, outcome, sentAt) =>
            this.send({ type: 'hold-result', host: heldHost, outcome, sentAt }),
        }),
      );
      this.#context.log.record('host-found', host.id, {
        machine: host.machine,
        pool: host.pool,
        state: record.entry.state,
      });
    });
    this.#closeEndedHosts();
  }

  #applyOperator({ configuration, waves }: OperatorState): void {
    if (configuration !== undefined) this.#shard.applyConfiguration(configuration);
    waves.forEach((order) => this.#shard.setWave(order, this.#waveRecords.get(order.wave)));
  }

  #applyChange(change: WorkLogChange): void {
    switch (change.type) {
      case 'job':
        this.#records.withdrawEarlyCancels(change.job);
        this.#addJob(change.job);
        break;
      case 'resubmitted':
        this.#shard.reportResubmission(change.job);
        break;
      case 'early-cancel':
        this.#records.addEarlyCancel(change.key);
        break;
      case 'cancelled':
        this.#shard.cancelJob(change.job.id);
        break;
      case 'owner':
        if (change.owner.token > this.token)
          this.#endOwnership('a later owner has claimed the shard');
        break;
      default:
    }
  }

  #addJob(job: TrackedJob): void {
    const { progress } = job;
    if (progress !== undefined && progress.state !== 'active') {
      const endedAtMs = progress.endedAtMs ?? this.#context.clock.readWall();
      this.#records.addFinishedJob(job, endedAtMs);
      this.#shard.reportSubmission(job);
    } else this.#shard.addJob(job);
  }

  get #isHeartbeatDue(): boolean {
    const sinceAppendMs = this.#context.clock.readMonotonic() - this.#lastAppendAt;
    return !this.#ownershipCheck.isConfirmed || sinceAppendMs >= this.#context.settings.ownerBeatMs;
  }

  #flush(): void {
    if (this.#isAppending || this.isClosed) return;
    const isRelease = this.#release !== undefined;
    const isHeartbeatDue = this.#isHeartbeatDue;
    if (!this.#hasPendingRecords && !isHeartbeatDue && !isRelease) return;
    const jobs = this.#shard.takeDirtyJobs();
    const waves = this.#shard.takeDirtyWaves();
    const machineOrders = this.#orders.takeUnrecorded();
    const ends = [...this.#holdSchedulers.keys()]
      .filter((host) => host.processedEnd > host.acknowledgedEnd)
      .map((host): RecordedEnd => {
        const { processedEnd: sequence, restartCount } = host;
        return { host, sequence, restartCount };
      });
    const append = this.#records.build({
      jobs,
      waves,
      hasNewMachineOrders: machineOrders.length > 0,
      isHeartbeatDue,
      isRelease,
      readTo: this.#readTo,
      intervalMs: computeRecordInterval(this.#context.settings, [
        this.#writer.latencyMs,
        this.#lag.meanMs,
      ]),
      storeLatencyMs: Math.round(this.#writer.latencyMs),
      successor: this.#release?.successor,
    });
    this.#isAppending = true;
    const { gaps } = this.#ownershipCheck;
    this.#writer.append(append.records).then((result) =>
      this.send({
        type: 'append-result',
        result,
        batch: { append, jobs, ends, isRelease, machineOrders, gaps },
      }),
    );
  }

  /** Fails the jobs whose progress the store does not accept; their recorded starts are cancelled. */
  #failUnrecorded(rejected: readonly string[], jobs: readonly ScheduledJob[]): void {
    const ids = new Set(rejected.flatMap((key) => findProgressJob(key) ?? []));
    jobs.forEach(({ id }) => {
      if (ids.has(id))
        this.#shard.failJob(id, 'the store does not accept the record of its progress');
    });
  }

  #handleAppendResult(result: OwnerWriteResult, batch: AppendBatch): void {
    this.#isAppending = false;
    if (result.type === 'fenced') {
      this.#endOwnership('a later owner has written');
      return;
    }
    this.#failUnrecorded(result.rejected, batch.jobs);
    this.#lastAppendAt = this.#context.clock.readMonotonic();
    this.#ownershipCheck.recordAppend(batch.gaps);
    this.#records.confirm(batch.append);
    if (!batch.isRelease) this.#orderRecorded(batch.machineOrders);
    batch.jobs.forEach(({ tracked, endedAtMs }) => {
      if (endedAtMs !== undefined) this.#records.addFinishedJob(tracked, endedAtMs);
    });
    batch.ends.forEach(({ host, sequence, restartCount }) => {
      host.acknowledge(sequence, restartCount);
      this.#holdSchedulers.get(host)?.acknowledge();
    });
    if (batch.isRelease) {
      this.#endOwnership(RELEASED);
      return;
    }
    this.#scheduleFlush();
  }
}
