import type { TrackedJob, WaveRecord } from '../workLog/mod.js';
import type { Clock } from '../clock/mod.js';
import type {
  Advice,
  Configuration,
  HostEntry,
  HostReport,
  Machine,
  MachineResponse,
  PoolConfig,
  QueueConfig,
  WaveOrder,
} from '../port/mod.js';
import { AdviceCache } from './AdviceCache.js';
import { FaultyHostDetector } from './FaultyHostDetector.js';
import { HostIncarnations } from './HostIncarnations.js';
import { HostMonitor } from './HostMonitor.js';
import { HostTable } from './HostTable.js';
import { InterferenceControl } from './InterferenceControl.js';
import type { SchedulingPolicy } from './SchedulingPolicy.js';
import { JobTable } from './JobTable.js';
import { LeastCostFirst } from './LeastCostFirst.js';
import { LeastWorkFirst } from './LeastWorkFirst.js';
import type { ManagedHost } from './ManagedHost.js';
import { MachinePlanner } from './MachinePlanner.js';
import { Organisations } from './Organisations.js';
import { PackingPlacement } from './PackingPlacement.js';
import type { PlacementPolicy } from './PlacementPolicy.js';
import { PoolLoad } from './PoolLoad.js';
import { PreviousOwners } from './PreviousOwners.js';
import type { CallerStanding } from './CallerStanding.js';
import { DelayCost } from './DelayCost.js';
import { RecentMachineOrders, type RecentMachineOrder } from './RecentMachineOrders.js';
import { restoreQueue } from './restoreQueue.js';
import type { Run } from './Run.js';
import { RunTracker, type ReportResult, type OrderOutcome } from './RunTracker.js';
import { RunTimeEstimator } from './RunTimeEstimator.js';
import type { ScheduledJob } from './ScheduledJob.js';
import type { ShardOptions } from './ShardOptions.js';
import { StartPlanner, type StartRule } from './StartPlanner.js';
import type { Takeover } from './Takeover.js';
import type { MachineSubject, ShardOutput } from './ShardCommand.js';

/** Consecutive unanswered calls after which the machine list is checked for the end of a host. */
const MAX_SILENT_CALLS = 2;

/** Collaborators of a `Shard`; the policies have defaults. */
export interface ShardParts {
  clock: Clock;
  output: ShardOutput;
  /** Estimator that the policies share with the shard. */
  estimator?: RunTimeEstimator;
  schedulingPolicy?: SchedulingPolicy;
  /** How the submitters of jobs stand; by default, all jobs are equal. */
  standing?: CallerStanding;
  placementPolicy?: PlacementPolicy;
}

/**
 * Scheduler of a shard: decides which tasks start when and on which hosts, which runs are stopped,
 * and which machines are moved or maintained.
 *
 * It performs no I/O: events arrive as method calls, and commands are sent to a `ShardOutput`. All
 * times are read from the given clock.
 */
export class Shard {
  readonly #clock: Clock;

  readonly #output: ShardOutput;

  readonly #options: ShardOptions;

  readonly #takeover: Takeover;

  readonly #jobs: JobTable;

  readonly #hosts = new HostTable();

  readonly #runTracker: RunTracker;

  readonly #estimator: RunTimeEstimator;

  readonly #faultyHosts = new FaultyHostDetector();

  readonly #hostMonitor: HostMonitor;

  readonly #incarnations: HostIncarnations;

  readonly #startPlanner: StartPlanner;

  readonly #advice = new AdviceCache();

  readonly #machinePlanner: MachinePlanner;

  readonly #machineOrders: RecentMachineOrders;

  readonly #load: PoolLoad;

  readonly #previousOwners: PreviousOwners;

  /** The organisations: their use, their caps and what they are entitled to. */
  readonly organisations: Organisations;

  #isDetached = false;

  #pools = new Map<string, PoolConfig>();

  #queues = new Map<string, QueueConfig>();

  constructor(takeover: Takeover, options: ShardOptions, parts: ShardParts) {
    this.#takeover = takeover;
    this.#options = options;
    this.#clock = parts.clock;
    this.#output = parts.output;
    this.#estimator = parts.estimator ?? new RunTimeEstimator();
    const startedAt = this.#clock.readMonotonic();
    this.#previousOwners = new PreviousOwners(takeover, options, {
      hosts: this.#hosts,
      startedAt,
    });
    this.organisations = new Organisations(takeover, options, {
      hosts: this.#hosts,
      previousOwners: this.#previousOwners,
      output: this.#output,
    });
    this.#jobs = new JobTable(this.#output);
    this.#runTracker = new RunTracker({
      jobs: this.#jobs,
      estimator: this.#estimator,
      faultyHosts: this.#faultyHosts,
      output: this.#output,
      clock: this.#clock,
      use: this.organisations.use,
      stopMs: options.stopMs,
    });
    this.#hostMonitor = new HostMonitor(this.#runTracker, this.#output);
    this.#incarnations = new HostIncarnations({
      hosts: this.#hosts,
      runTracker: this.#runTracker,
      faultyHosts: this.#faultyHosts,
      hostMonitor: this.#hostMonitor,
      output: this.#output,
      clock: this.#clock,
      maxLeaseMs: options.maxLeaseMs,
    });
    this.#load = new PoolLoad({
      jobs: this.#jobs,
      hosts: this.#hosts,
      estimator: this.#estimator,
      demand: this.organisations.demand,
      moveMs: options.moveMs,
    });
    if (!takeover.isFirst) this.#load.reportDemand(startedAt);
    this.#machineOrders = new RecentMachineOrders({
      leaseMs: options.machineLeaseMs,
      inherited: takeover.machineOrders,
      startedAt,
    });
    this.#machinePlanner = new MachinePlanner(options, {
      hosts: this.#hosts,
      runTracker: this.#runTracker,
      load: this.#load,
      output: this.#output,
      orders: this.#machineOrders,
    });
    const cost = new DelayCost(this.#estimator, {
      standing: parts.standing ?? this.organisations.standing,
      largeJobFactor: options.largeJobFactor,
    });
    this.#startPlanner = new StartPlanner(takeover, options, {
      hosts: this.#hosts,
      runTracker: this.#runTracker,
      previousOwners: this.#previousOwners,
      machinePlanner: this.#machinePlanner,
      advice: this.#advice,
      organisations: this.organisations,
      cost,
      schedulingPolicy:
        parts.schedulingPolicy ??
        (options.overloadPolicy === 'least-cost'
          ? new LeastCostFirst(cost)
          : new LeastWorkFirst(this.#estimator)),
      placementPolicy: parts.placementPolicy ?? new PackingPlacement(),
      output: this.#output,
      clock: this.#clock,
    });
  }

  get token(): number {
    return this.#takeover.token;
  }

  /**
   * Sets whether the owner has lost contact with the store, so that a later owner may exist.
   *
   * A later owner may have adopted the runs on hosts that do not respond to this one, and may have
   * recorded their ends. While that is possible, no such run is restarted, and no machine is moved
   * or maintained.
   */
  setDetached(isDetached: boolean): void {
    this.#isDetached = isDetached;
    this.#incarnations.setDetached(isDetached);
  }

  /** Sets the jobs whose tasks may be started from now on. */
  setStartRule(rule: StartRule): void {
    this.#startPlanner.setStartRule(rule);
  }

  /** Discards a run whose start has not been ordered. */
  cancelStart(run: Run): void {
    this.#runTracker.cancelStart(run, this.#now);
  }

  /** Applies the current configuration. */
  applyConfiguration(configuration: Configuration): void {
    const { queues, pools } = configuration;
    this.organisations.applyConfiguration(configuration);
    this.#queues = new Map(queues.map((queue) => [queue.name, queue]));
    this.#pools = new Map(pools.map((pool) => [pool.name, pool]));
    this.#jobs.updateQueues((name) => this.#queues.get(name));
  }

  /** Records the submission of a job from the work log, finished or not. */
  reportSubmission(tracked: TrackedJob): void {
    const nowWallMs = this.#clock.readWall();
    this.organisations.addJob(tracked, { now: this.#now, nowWallMs });
    // The clock of the node that accepted the job may be ahead.
    const ageMs = Math.max(0, nowWallMs - tracked.submittedAtMs);
    this.#load.reportSubmission(tracked, this.#now - ageMs);
  }

  /** Records a submission that replaces the earlier one of its job, of the same organisation or not. */
  reportResubmission(tracked: TrackedJob): void {
    this.organisations.removeJob(tracked.id);
    this.organisations.addJob(tracked, { now: this.#now, nowWallMs: this.#clock.readWall() });
  }

  /** Adds an accepted job. */
  addJob(tracked: TrackedJob): void {
    const queue = this.#queues.get(tracked.queue) ?? restoreQueue(tracked);
    const job = this.#jobs.add(tracked, queue, this.#clock.readWall());
    if (job === undefined) return;
    this.reportSubmission(tracked);
    if (tracked.cancelledAtMs !== undefined) this.cancelJob(tracked.id);
    else if (tracked.acceptedOffset > this.#takeover.claimOffset) {
      this.#load.reportArrival(job, this.#now);
    }
  }

  /** Cancels a job and stops its runs. */
  cancelJob(id: string): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    const now = this.#clock.readMonotonic();
    const runs = job.collectRuns();
    this.#jobs.finishJob(job, 'cancelled', this.#clock.readWall());
    this.#advice.remove(id);
    runs.forEach((run) => this.#runTracker.stop(run, now, 'cancelled'));
  }

  /** Fails a job that cannot go on, for a reason that concerns no task, and stops its runs. */
  failJob(id: string, reason: string): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    this.#jobs.finishJob(job, 'failed', this.#clock.readWall(), reason);
    this.#runTracker.stopJob(job, this.#now, 'job-failed');
  }

  /** Adds or updates a host from the host list. */
  updateHost(entry: HostEntry): { host: ManagedHost; isNew: boolean } {
    const now = this.#clock.readMonotonic();
    const known = this.#hosts.get(entry.id);
    // A host that was added from the machine list has no address until its entry is read.
    const hadAddress = known !== undefined && known.entry.address !== '';
    const incarnation = known?.compareIncarnation(entry);
    if (known !== undefined && incarnation === 'former') return { host: known, isNew: false };
    if (known !== undefined && incarnation === 'later')
      this.#incarnations.start(known, entry, 'entry');
    const host = this.#hosts.update(entry, now);
    if (host.entry.state === 'draining') this.#stopLastingRuns(host, now);
    if (known === undefined && !this.#takeover.isFirst) {
      // A host that started after the claim has no runs of previous owners, but its entry does not
      // show when it started. Its first report does.
      host.reserve(this.#previousOwners.reservedUntil);
    }
    return { host, isNew: !hadAddress };
  }

  /** Marks a host as missing from the host list; it may still have runs. */
  removeHost(id: string): void {
    const host = this.#hosts.get(id);
    if (host === undefined) return;
    host.markUnlisted();
    if (host.runs.size === 0 && host.isFenced)
      this.#incarnations.end(host, 'not-listed', this.#now);
  }

  /** Replaces the machine list with one that was requested at `readAt`. */
  updateMachines(machines: readonly Machine[], readAt: number): void {
    const now = this.#now;
    const isFirstList = this.#hosts.machinesReadAt === -Infinity;
    this.#hosts.setMachines(machines, readAt);
    if (isFirstList && !this.#takeover.isFirst) {
      machines.forEach((machine) => {
        const { hostId } = machine;
        if (hostId === undefined || machine.state !== 'up' || this.#hosts.get(hostId)) return;
        if (this.#pools.get(machine.pool)?.isStandby === true) return;
        const host = this.#hosts.addUnlisted({ ...machine, hostId }, now);
        host.reserve(this.#previousOwners.reservedUntil);
      });
    }
    [...this.#hosts.hosts].forEach((host) => {
      const { endClaimedAt } = host;
      if (endClaimedAt !== undefined && endClaimedAt < readAt) {
        if (this.#hosts.isProvenEnded(host)) this.#incarnations.end(host, 'machine-ordered', now);
        else host.withdrawEndClaim();
        return;
      }
      const isSilent = host.silentCalls >= MAX_SILENT_CALLS || !host.isListed;
      const isOlder = Math.max(host.answeredAt, host.discoveredAt) < readAt;
      if (isSilent && isOlder && this.#hosts.isProvenEnded(host)) {
        this.#incarnations.end(host, 'machine-list', now);
      }
    });
  }

  /** Adds or updates a maintenance wave requested by the operator. */
  setWave(order: WaveOrder, record: WaveRecord | undefined): void {
    const readTime = { now: this.#now, nowWallMs: this.#clock.readWall() };
    this.#machinePlanner.setWave(order, readTime, record);
  }

  /** Handles the outcome of a start order. */
  reportStart(run: Run, outcome: OrderOutcome): ReportResult {
    const result = this.#runTracker.reportStart(run, outcome, this.#now);
    if (outcome.type === 'refused' && outcome.reason === 'no-ticket') {
      this.#advice.withdraw(run.unit.step, run.host.id);
    }
    return this.#handleResult(run.host, result);
  }

  /** Handles the outcome of a stop order. */
  reportStop(
    host: ManagedHost,
    stop: { task: string; number: number },
    outcome: OrderOutcome,
  ): ReportResult {
    return this.#handleResult(host, RunTracker.reportStop(host, stop, outcome, this.#now));
  }

  /** Handles the outcome of an order to change the pace of a run. */
  reportPace(run: Run, percent: number, outcome: OrderOutcome): ReportResult {
    run.setPace(outcome.type === 'done' ? percent : run.pace);
    const isFenced = outcome.type === 'refused' && outcome.reason === 'fenced';
    return this.#handleResult(run.host, isFenced ? 'fenced' : 'ok');
  }

  /** Handles a report of a host; after the first one, the host rejects previous owners. */
  reportHold(host: ManagedHost, report: HostReport, sentAt: number): ReportResult {
    const now = this.#now;
    if (host.hasEnded) return 'ok';
    const incarnation = host.compareIncarnation(report);
    if (incarnation === 'former') return 'ok';
    if (incarnation === 'later') this.#incarnations.start(host, report, 'report');
    // A later owner may have noticed the restart, too, and have started the tasks elsewhere.
    if (host.isRestarting && this.#isDetached) return 'ok';
    host.setClock(report.clockMs, now);
    const hasUnknownLeases = !this.#takeover.isFirst || host.restartCount > 0;
    host.fence(hasUnknownLeases ? this.#options.maxLeaseMs : 0);
    this.#runTracker.reportHold(host, report, sentAt, now);
    this.#hostMonitor.handleReport(host, this.#pools.get(host.pool)?.healthPath, now);
    InterferenceControl.plan(host).forEach(({ run, percent }) => {
      run.setPace(undefined);
      this.#output.send({ type: 'pace', run, percent });
    });
    return 'ok';
  }

  /** Handles a hold that was rejected or not answered. */
  reportHoldFailure(host: ManagedHost, reason: string): ReportResult {
    if (reason === 'fenced') return 'fenced';
    if (reason === 'other-life') return this.#handleResult(host, 'other-life');
    host.recordUnanswered();
    return 'ok';
  }

  /** Handles the response to an order for a machine. */
  reportMachineResponse(
    order: MachineSubject,
    answer: MachineResponse | { type: 'unanswered' },
  ): ReportResult {
    this.#machineOrders.settle(order.machine, this.#now);
    const ended = this.#machinePlanner.reportResponse(order, answer, this.#now);
    if (ended !== undefined) this.#incarnations.end(ended, 'machine-ordered', this.#now);
    return answer.type === 'fenced' ? 'fenced' : 'ok';
  }

  /** Checks whether an order for a machine may still be sent. */
  isMachineOrderWanted(order: MachineSubject): boolean {
    return this.#machinePlanner.isOrderWanted(order);
  }

  /** Handles the result of a health check; undefined if the host did not respond. */
  reportHealth(host: ManagedHost, isWell: boolean | undefined): void {
    this.#hostMonitor.reportHealth(host, isWell, this.#now);
  }

  /** Checks whether a request for advice on a step is still of use. */
  isAdviceWanted(step: string): boolean {
    return this.#advice.isPending(step);
  }

  /** Records a response of the advice service; undefined if the request failed. */
  reportAdvice(step: string, advice: Advice | undefined): void {
    this.#advice.report(step, advice, this.#now);
  }

  /** Finds a host by the identifier of its incarnation. */
  findHost(id: string): ManagedHost | undefined {
    return this.#hosts.get(id);
  }

  get hosts(): IterableIterator<ManagedHost> {
    return this.#hosts.hosts;
  }

  /** Checks whether a current machine list is needed. */
  get needsMachineList(): boolean {
    if (this.#hosts.machinesReadAt === -Infinity) return true;
    if (this.#machinePlanner.needsMachineList) return true;
    return [...this.#hosts.hosts].some((host) => {
      if (host.endClaimedAt !== undefined) return true;
      const isSilent = host.silentCalls >= MAX_SILENT_CALLS || !host.isListed;
      if (isSilent) return host.runs.size > 0 || host.reservedUntil > 0;
      // The list is older than the host, so the host's machine does not count as movable yet.
      return host.discoveredAt > this.#hosts.machinesReadAt;
    });
  }

  /** Makes all decisions that are due now and sends the resulting commands. */
  plan(): void {
    const now = this.#now;
    this.#incarnations.expireLeases(now);
    if (!this.#isDetached) {
      this.#machinePlanner.planMaintenance(now, this.#clock.readWall(), this.#pools);
    }
    this.planStarts();
    if (!this.#isDetached) {
      this.#machinePlanner.planMoves(now, this.#clock.readWall(), this.#pools);
    }
  }

  /**
   * Decides only which tasks start. The other decisions look at every host and take effect after
   * seconds, so they are not repeated at every event.
   */
  planStarts(): void {
    const now = this.#now;
    this.#jobs.openDueOccurrences(this.#clock.readWall());
    const waiting = this.#jobs.listWaiting();
    waiting.forEach((steps, pool) => {
      if (this.#pools.get(pool)?.isStandby !== true) this.#startPlanner.plan(pool, steps, now);
    });
    this.organisations.report(waiting, now);
  }

  /** Returns the jobs whose progress has to be recorded, and clears the set. */
  takeDirtyJobs(): ScheduledJob[] {
    const jobs = this.#jobs.takeDirtyJobs();
    jobs.forEach(({ id, finalState }) => {
      if (finalState !== undefined) this.#advice.remove(id);
    });
    return jobs;
  }

  get hasDirtyRecords(): boolean {
    return this.#jobs.hasDirtyJobs || this.#machinePlanner.dirtyWaves.size > 0;
  }

  /** Returns the waves whose progress has to be recorded, and clears the set. */
  takeDirtyWaves(): [number, WaveRecord][] {
    return this.#machinePlanner.takeDirtyWaves();
  }

  /** Lists the data centres whose jobs may still have unrecorded runs of previous owners. */
  listUnrecorded(): readonly string[] {
    return this.#previousOwners.listUnrecorded(this.#now);
  }

  /** Lists the recent orders for machines that a later owner has to know. */
  listMachineOrders(): RecentMachineOrder[] {
    return this.#machineOrders.list(this.#now);
  }

  get #now(): number {
    return this.#clock.readMonotonic();
  }

  #handleResult(host: ManagedHost, result: ReportResult): ReportResult {
    if (result === 'other-life') this.#incarnations.end(host, 'other-life', this.#now);
    return result;
  }

  /** Stops the long-running runs on a draining host, so that they are restarted on other hosts. */
  #stopLastingRuns(host: ManagedHost, now: number): void {
    host.runs.forEach((run) => {
      if (run.state === 'running' && run.unit.spec.isLasting) {
        this.#runTracker.stop(run, now, 'host-draining');
      }
    });
  }
}
