import { Actor } from '../actor/mod.js';
import {
  WorkLogKey,
  type WorkLogChange,
  type TrackedJob,
  type WaveRecord,
} from '../workLog/mod.js';
import type { HostRecord, KeyedValue } from '../port/mod.js';
import {
  Shard,
  type ReportResult,
  type ManagedHost,
  type ShardCommand,
  type Takeover,
} from '../schedule/mod.js';
import { PauseDetector } from '../session/PauseDetector.js';
import type { ScheduledJob } from '../schedule/ScheduledJob.js';
import { CommandRunner, type MachineCommand, type StartCommand } from './_CommandExecutor.js';
import { HostFollower } from './HostFollower.js';
import { HostLink, type HoldOutcome } from './HostLink.js';
import { HostWatch } from './HoldScheduler.js';
import { OwnerOutput } from './_OwnerOutput.js';
import type { NodeParts } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';
import { StartGate, type StartPermit } from './StartPolicy.js';
import { OwnerWriter, type OwnerWriteResult } from './OwnerWriter.js';
import { formatRemoval } from './buildJobTombstones.js';

/** Pause in ms between plans when nothing happens. */
const TICK_MS = 50;
/** Events of this time in ms are planned together. */
const PLAN_DELAY_MS = 3;
/** Ends of this time in ms are recorded together. */
const FLUSH_DELAY_MS = 4;
/** Pause in ms between reads of the list of machines while it is needed. */
const MACHINES_PAUSE_MS = 600;

/** The ages of orders about machines are recorded anew after this time in ms. */
const ORDERS_REFRESH_MS = 500;

/** Messages of the owner of a shard. */
export type ShardOwnerMessage =
  | { type: 'tick' }
  | { type: 'plan' }
  | { type: 'flush' }
  /** `end` is the offset up to which the work log has been read. */
  | { type: 'book'; changes: readonly WorkLogChange[]; end: number }
  | { type: 'operator'; state: OperatorState }
  | { type: 'hosts'; records: HostRecord[] }
  | { type: 'held'; host: ManagedHost; outcome: HoldOutcome; sentAt: number }
  | { type: 'settle'; settle: (shard: Shard) => ReportResult }
  | { type: 'written'; result: OwnerWriteResult; batch: WrittenBatch }
  | { type: 'hand-over'; reply: (isDone: boolean) => void };

/** What an append of the owner carried. */
interface WrittenBatch {
  jobs: ScheduledJob[];
  waves: [number, WaveRecord][];
  /** Ends that each host had reported when the append was made. */
  ends: [ManagedHost, number][];
  isRelease: boolean;
  /** Orders about machines that the append has recorded; they are sent now. */
  machineOrders: MachineCommand[];
}

/** What an owner starts with. */
export interface ShardOwnerOptions {
  takeover: Takeover;
  jobs: readonly TrackedJob[];
  waves: ReadonlyMap<number, WaveRecord>;
  operator: OperatorState | undefined;
  /** Called once when the ownership has ended. */
  onLost: (reason: string) => void;
  /** Checks whether every other node answers and none is in contact with the store. */
  isStoreAway: () => Promise<boolean>;
  /** Is called when tasks may be started without a record. */
  onUnrecorded: () => void;
}

/** Owns a shard: feeds its decisions with events and carries out their commands. */
export class ShardOwner extends Actor<ShardOwnerMessage> {
  readonly #parts: NodeParts;

  readonly #options: ShardOwnerOptions;

  readonly #shard: Shard;

  readonly #output: OwnerOutput;

  readonly #writer: OwnerWriter;

  readonly #runner: CommandRunner;

  readonly #follower: HostFollower;

  readonly #watches = new Map<ManagedHost, HostWatch>();

  readonly #waveRecords: Map<number, WaveRecord>;

  readonly #pauses: PauseDetector;

  readonly #ticker: NodeJS.Timeout;

  /** Finished jobs whose records are to be removed, oldest first. */
  readonly #finished: { id: string; endedAtMs: number }[] = [];

  #isPlanning = false;

  #isWriting = false;

  #isFlushing = false;

  readonly #gate: StartGate;

  #permit: StartPermit = { isRecorded: true, rule: 'all' };

  /** Starts that are not yet recorded, and so not yet ordered. */
  #unrecordedStarts: StartCommand[] = [];

  /** Starts that the append under way records. */
  #startsInAppend: StartCommand[] = [];

  /** Orders about machines that are not yet recorded, and so not yet sent. */
  #unrecordedMachineOrders: MachineCommand[] = [];

  /** When the orders about machines were last recorded, and whether there were any. */
  #ordersDescribedAt = -Infinity;

  #hasDescribedOrders = true;

  #isReadingMachines = false;

  #machinesReadAt = -Infinity;

  #writtenAt: number;

  /** Offset up to which the work log has been read. */
  #readTo: number;

  #release: ((isDone: boolean) => void) | undefined;

  constructor(parts: NodeParts, options: ShardOwnerOptions) {
    super(parts.scope, 'shard-owner');
    const { takeover, operator } = options;
    this.#parts = parts;
    this.#options = options;
    this.#output = new OwnerOutput(parts);
    this.#shard = new Shard(takeover, parts.settings.shard, {
      clock: parts.clock,
      output: this.#output,
    });
    this.#readTo = takeover.claimOffset;
    this.#writer = new OwnerWriter(parts, takeover);
    this.#writtenAt = parts.clock.readMonotonic();
    this.#runner = new CommandRunner(parts, {
      token: takeover.token,
      findLink: (host) => this.#watches.get(host)?.link,
      settle: (settle) => this.send({ type: 'settle', settle }),
    });
    this.#gate = new StartGate({
      readClock: () => parts.clock.readMonotonic(),
      isStoreAway: options.isStoreAway,
      onAway: options.onUnrecorded,
    });
    this.#pauses = new PauseDetector(parts.clock.readWall());
    this.#waveRecords = new Map(options.waves);
    if (operator !== undefined) this.#applyOperator(operator);
    options.jobs.forEach((job) => this.#addJob(job));
    this.#follower = new HostFollower(parts, (records) => this.send({ type: 'hosts', records }));
    this.#ticker = setInterval(() => this.send({ type: 'tick' }), TICK_MS);
  }

  get token(): number {
    return this.#options.takeover.token;
  }

  protected override receive(message: ShardOwnerMessage): void {
    if (this.#hasLostContact()) {
      this.#endOwnership('no contact to the store');
      return;
    }
    switch (message.type) {
      case 'tick':
        this.#handleTick();
        return;
      case 'plan':
        this.#isPlanning = false;
        this.#plan();
        return;
      case 'flush':
        this.#isFlushing = false;
        this.#flush();
        return;
      case 'book':
        this.#readTo = message.end;
        message.changes.forEach((change) => this.#applyChange(change));
        break;
      case 'operator':
        this.#applyOperator(message.state);
        break;
      case 'hosts':
        this.#applyHosts(message.records);
        break;
      case 'held':
        this.#handleHeld(message.host, message.outcome, message.sentAt);
        break;
      case 'settle':
        this.#settle(message.settle(this.#shard));
        break;
      case 'written':
        this.#handleWritten(message.result, message.batch);
        break;
      default:
        this.#release = message.reply;
        this.#flush();
    }
    this.#schedulePlan();
  }

  override close(): void {
    clearInterval(this.#ticker);
    this.#runner.close();
    this.#writer.close();
    this.#follower.close();
    this.#watches.forEach((watch) => watch.close());
    this.#watches.clear();
    super.close();
  }

  /** Checks whether an owner that cannot reach the store has to give up. */
  #hasLostContact(): boolean {
    const silentMs = this.#parts.clock.readMonotonic() - this.#writtenAt;
    return silentMs > this.#parts.settings.shard.detachedLimitMs;
  }

  #endOwnership(reason: string): void {
    if (this.isClosed) return;
    this.#parts.log.record('ownership-lost', String(this.token), { reason });
    this.close();
    this.#options.onLost(reason);
  }

  #handleTick(): void {
    if (this.#pauses.recordTick(this.#parts.clock.readWall())) {
      // Another node may have claimed the shard; the book tells before the next order.
      this.#endOwnership('the process was suspended');
      return;
    }
    this.#readMachines();
    this.#plan();
    this.#flush();
  }

  #schedulePlan(): void {
    if (this.#isPlanning || this.isClosed) return;
    this.#isPlanning = true;
    setTimeout(() => this.send({ type: 'plan' }), PLAN_DELAY_MS);
  }

  #plan(): void {
    if (this.#release !== undefined) return;
    const startedAt = this.#parts.clock.readMonotonic();
    const silentMs = startedAt - this.#writtenAt;
    this.#shard.setDetached(silentMs > this.#parts.settings.ownerSilenceMs);
    this.#setPermit(this.#gate.choosePermit(silentMs));
    this.#shard.plan();
    this.#parts.metrics.recordLatency('plan', this.#parts.clock.readMonotonic() - startedAt);
    this.#runCommands();
    // A start waits for its record, an end does not; the plan has gathered what came together.
    if (this.#unrecordedStarts.length > 0) this.#flush();
    else this.#scheduleFlush();
  }

  #setPermit(permit: StartPermit): void {
    if (permit.isRecorded !== this.#permit.isRecorded || permit.rule !== this.#permit.rule) {
      this.#parts.log.record('start-permit', String(this.token), { ...permit });
    }
    this.#permit = permit;
    this.#shard.setStartRule(permit.rule);
    if (permit.isRecorded) return;
    // What waits for its record goes without one, or waits on where that is not allowed.
    const starts = [...this.#startsInAppend.splice(0), ...this.#unrecordedStarts.splice(0)];
    this.#takeWanted(starts).forEach((start) => this.#runCommand(start));
  }

  get #hasUnwritten(): boolean {
    return (
      this.#shard.hasDirtyRecords ||
      this.#unrecordedMachineOrders.length > 0 ||
      this.#unrecordedStarts.length > 0
    );
  }

  #scheduleFlush(): void {
    if (this.#isFlushing || !this.#hasUnwritten || this.isClosed) return;
    this.#isFlushing = true;
    setTimeout(() => this.send({ type: 'flush' }), FLUSH_DELAY_MS);
  }

  #runCommands(): void {
    this.#output.commands.splice(0).forEach((command) => this.#runCommand(command));
    this.#watches.forEach((watch) => watch.wake());
  }

  #runCommand(command: ShardCommand): void {
    if (command.type === 'start' && !this.#canStartUnrecorded(command)) {
      this.#unrecordedStarts.push(command);
    } else if (command.type === 'move' || command.type === 'maintain') {
      // A successor has to know of the order before the machine does.
      this.#unrecordedMachineOrders.push(command);
    } else this.#runner.run(command);
  }

  #canStartUnrecorded({ run }: StartCommand): boolean {
    const { isRecorded, rule } = this.#permit;
    if (isRecorded) return false;
    const { dataCentre } = run.unit.step.occurrence.job.tracked;
    return rule === 'all' || dataCentre === this.#parts.settings.dataCentre;
  }

  /** Takes the starts whose runs are still wanted, and cancels those that were given up meanwhile. */
  #takeWanted(starts: readonly StartCommand[]): StartCommand[] {
    return starts.filter(({ run }) => {
      const isWanted = run.state === 'starting';
      if (!isWanted) this.#shard.cancelStart(run);
      return isWanted;
    });
  }

  #settle(result: ReportResult): void {
    if (result === 'fenced') this.#endOwnership('a later owner has given orders');
    this.#closeEnded();
  }

  #handleHeld(host: ManagedHost, outcome: HoldOutcome, sentAt: number): void {
    const watch = this.#watches.get(host);
    if (watch === undefined) return;
    if (outcome.type === 'report') {
      const result = this.#shard.reportHold(host, outcome.report, sentAt);
      watch.handleReport(outcome.report);
      this.#settle(result);
      return;
    }
    const reason = outcome.type === 'failed' ? outcome.error.message : outcome.reason;
    this.#parts.log.record('hold-failed', host.id, { reason, silentCalls: host.silentCalls + 1 });
    const result = this.#shard.reportHoldFailure(host, reason);
    watch.handleReport(undefined);
    this.#settle(result);
  }

  /** Closes the links to hosts whose life has ended. */
  #closeEnded(): void {
    this.#watches.forEach((watch, host) => {
      if (!host.hasEnded) return;
      watch.close();
      this.#watches.delete(host);
    });
  }

  #applyHosts(records: readonly HostRecord[]): void {
    records.forEach((record) => {
      if (record.type === 'gone') this.#shard.removeHost(record.id);
      if (record.type !== 'entry') return;
      const { host, isNew } = this.#shard.updateHost(record.entry);
      if (!isNew || this.#watches.has(host)) return;
      this.#watches.set(
        host,
        new HostWatch(host, new HostLink(this.#parts, record.entry), {
          token: this.token,
          leaseMs: this.#parts.settings.shard.leaseMs,
          readClock: () => this.#parts.clock.readMonotonic(),
          onHeld: (held, outcome, sentAt) =>
            this.send({ type: 'held', host: held, outcome, sentAt }),
        }),
      );
      this.#parts.log.record('host-found', host.id, {
        machine: host.machine,
        pool: host.pool,
        state: record.entry.state,
      });
    });
    this.#closeEnded();
  }

  #applyOperator({ configuration, waves }: OperatorState): void {
    if (configuration !== undefined) this.#shard.applyConfiguration(configuration);
    waves.forEach((order) => this.#shard.setWave(order, this.#waveRecords.get(order.wave)));
  }

  #applyChange(change: WorkLogChange): void {
    switch (change.type) {
      case 'job':
        this.#addJob(change.job);
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
      const endedAtMs = progress.endedAtMs ?? this.#parts.clock.readWall();
      this.#finished.push({ id: job.id, endedAtMs });
      this.#shard.reportSubmission(job);
    } else this.#shard.addJob(job);
  }

  #readMachines(): void {
    const now = this.#parts.clock.readMonotonic();
    if (this.#isReadingMachines || now - this.#machinesReadAt < MACHINES_PAUSE_MS) return;
    if (!this.#shard.needsMachineList) return;
    this.#isReadingMachines = true;
    this.#machinesReadAt = now;
    this.#parts.machines.listMachines().then(
      (machines) =>
        this.send({
          type: 'settle',
          settle: (shard) => {
            this.#isReadingMachines = false;
            shard.updateMachines(machines, now);
            return 'ok';
          },
        }),
      (error: unknown) => {
        this.#isReadingMachines = false;
        this.#parts.log.record('machines-unread', 'list', { error: String(error) });
      },
    );
  }

  #flush(): void {
    if (this.#isWriting || this.isClosed) return;
    const now = this.#parts.clock.readMonotonic();
    const isRelease = this.#release !== undefined;
    const isBeatDue = now - this.#writtenAt >= this.#parts.settings.ownerBeatMs;
    if (!this.#hasUnwritten && !isBeatDue && !isRelease) return;
    const jobs = this.#shard.takeDirtyJobs();
    const waves = this.#shard.takeDirtyWaves();
    const machineOrders = this.#unrecordedMachineOrders.splice(0);
    this.#startsInAppend = this.#unrecordedStarts.splice(0);
    const ends = [...this.#watches.keys()]
      .filter((host) => host.processedEnd > host.acknowledgedEnd)
      .map((host): [ManagedHost, number] => [host, host.processedEnd]);
    const records: KeyedValue[] = [
      ...jobs.map((job) => ({
        key: WorkLogKey.progress(job.id),
        value: JSON.stringify(job.describeProgress(this.token)),
      })),
      ...waves.map(([wave, record]) => ({
        key: WorkLogKey.wave(wave),
        value: JSON.stringify(record),
      })),
      ...this.#describeMachineOrders(now, machineOrders.length > 0),
      ...this.#collectRemovals(),
    ];
    if (isBeatDue || isRelease || records.length === 0)
      records.push(this.#describeOwner(isRelease));
    this.#isWriting = true;
    this.#writer.append(records).then((result) =>
      this.send({
        type: 'written',
        result,
        batch: { jobs, waves, ends, isRelease, machineOrders },
      }),
    );
  }

  /** Describes the orders about machines anew when there are more, or when their ages are old. */
  #describeMachineOrders(now: number, hasNew: boolean): KeyedValue[] {
    const isOld = now - this.#ordersDescribedAt >= ORDERS_REFRESH_MS;
    if (!hasNew && (!isOld || !this.#hasDescribedOrders)) return [];
    const orders = this.#shard.listMachineOrders();
    this.#ordersDescribedAt = now;
    this.#hasDescribedOrders = orders.length > 0;
    return [{ key: WorkLogKey.machineOrders, value: JSON.stringify({ orders }) }];
  }

  #describeOwner(isReleased: boolean): KeyedValue {
    return {
      key: WorkLogKey.owner,
      value: JSON.stringify({
        token: this.token,
        node: this.#parts.settings.name,
        session: this.#parts.session,
        dataCentre: this.#parts.settings.dataCentre,
        unrecorded: this.#shard.listUnrecorded(),
        readTo: this.#readTo,
        isReleased,
      }),
    };
  }

  #collectRemovals(): KeyedValue[] {
    const before = this.#parts.clock.readWall() - this.#parts.settings.retentionMs;
    const removals: KeyedValue[] = [];
    while ((this.#finished[0]?.endedAtMs ?? Infinity) < before) {
      const finished = this.#finished.shift();
      if (finished !== undefined) removals.push(...formatRemoval(finished.id));
    }
    return removals;
  }

  #handleWritten(result: OwnerWriteResult, batch: WrittenBatch): void {
    this.#isWriting = false;
    if (result === 'fenced') {
      this.#endOwnership('a later owner has written');
      return;
    }
    this.#writtenAt = this.#parts.clock.readMonotonic();
    const starts = this.#startsInAppend.splice(0);
    if (!batch.isRelease) this.#takeWanted(starts).forEach((start) => this.#runner.run(start));
    if (!batch.isRelease) batch.machineOrders.forEach((one) => this.#runner.run(one));
    batch.jobs.forEach(({ id, endedAtMs }) => {
      if (endedAtMs !== undefined) this.#finished.push({ id, endedAtMs });
    });
    batch.ends.forEach(([host, number]) => {
      host.acknowledge(number);
      this.#watches.get(host)?.acknowledge(number);
    });
    if (batch.isRelease) {
      const reply = this.#release;
      this.#endOwnership('handed over');
      reply?.(true);
      return;
    }
    this.#scheduleFlush();
  }
}
