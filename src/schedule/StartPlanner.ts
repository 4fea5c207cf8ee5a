import type { Clock } from '../clock/mod.js';
import type { TrackedJob } from '../workLog/mod.js';
import type { AdviceCache } from './AdviceCache.js';
import { canInterrupt } from './canInterrupt.js';
import { computeResourceRequest } from './computeResourceRequest.js';
import type { DelayCost } from './DelayCost.js';
import type { HostTable } from './HostTable.js';
import type { MachinePlanner } from './MachinePlanner.js';
import type { ManagedHost } from './ManagedHost.js';
import type { Organisations } from './Organisations.js';
import type { PlacementPolicy } from './PlacementPolicy.js';
import { PlacementRound } from './PlacementRound.js';
import type { PreviousOwners } from './PreviousOwners.js';
import type { RunTracker } from './RunTracker.js';
import type { ScheduledStep } from './ScheduledStep.js';
import type { SchedulingPolicy } from './SchedulingPolicy.js';
import type { ShardOptions } from './ShardOptions.js';
import type { ShardOutput } from './ShardCommand.js';
import { StartOrderLog } from './StartOrderLog.js';
import type { Takeover } from './Takeover.js';
import type { WorkUnit } from './WorkUnit.js';

/** Range of run numbers per token, so that later owners use higher numbers. */
const RUNS_PER_TOKEN = 1_000;

/** Jobs whose tasks an owner may start: all, or those accepted in its own data centre. */
export type StartRule = 'all' | 'own-data-centre';

/** Collaborators of a `StartPlanner`. */
export interface StartPlannerParts {
  hosts: HostTable;
  runTracker: RunTracker;
  previousOwners: PreviousOwners;
  machinePlanner: MachinePlanner;
  advice: AdviceCache;
  organisations: Organisations;
  cost: DelayCost;
  schedulingPolicy: SchedulingPolicy;
  placementPolicy: PlacementPolicy;
  output: ShardOutput;
  clock: Clock;
}

/** Decides which waiting tasks of a pool start now, on which hosts, and which runs they preempt. */
export class StartPlanner {
  readonly #token: number;

  readonly #dataCentre: string;

  readonly #leaseMs: number;

  readonly #hosts: HostTable;

  readonly #runTracker: RunTracker;

  readonly #previousOwners: PreviousOwners;

  readonly #machinePlanner: MachinePlanner;

  readonly #advice: AdviceCache;

  readonly #cost: DelayCost;

  readonly #orderLog: StartOrderLog;

  readonly #organisations: Organisations;

  readonly #schedulingPolicy: SchedulingPolicy;

  readonly #placementPolicy: PlacementPolicy;

  readonly #output: ShardOutput;

  readonly #clock: Clock;

  #startRule: StartRule = 'all';

  constructor(
    { token }: Takeover,
    { dataCentre, leaseMs }: ShardOptions,
    parts: StartPlannerParts,
  ) {
    this.#token = token;
    this.#dataCentre = dataCentre;
    this.#leaseMs = leaseMs;
    this.#hosts = parts.hosts;
    this.#runTracker = parts.runTracker;
    this.#previousOwners = parts.previousOwners;
    this.#machinePlanner = parts.machinePlanner;
    this.#advice = parts.advice;
    this.#organisations = parts.organisations;
    this.#cost = parts.cost;
    this.#orderLog = new StartOrderLog(parts.cost, parts.output);
    this.#schedulingPolicy = parts.schedulingPolicy;
    this.#placementPolicy = parts.placementPolicy;
    this.#output = parts.output;
    this.#clock = parts.clock;
  }

  /** Sets the jobs whose tasks may be started from now on. */
  setStartRule(rule: StartRule): void {
    this.#startRule = rule;
    this.#organisations.guard.setDetached(rule !== 'all');
  }

  /** Starts the waiting tasks of a pool that fit on its available hosts. */
  plan(pool: string, steps: readonly ScheduledStep[], now: number): void {
    const hosts = this.#hosts.listInPool(pool).filter((host) => host.isAvailable(now));
    const nowWallMs = this.#clock.readWall();
    const hostsForLateJobs = this.#machinePlanner.chooseHostsForLateJobs(pool, hosts);
    const round = new PlacementRound(this.#placementPolicy, hosts, now);
    const isReleasing = hostsForLateJobs !== hosts;
    const lateRound = isReleasing
      ? new PlacementRound(this.#placementPolicy, hostsForLateJobs, now)
      : round;
    this.#organisations.prepareRound(pool, { steps, hosts }, now);
    const sorted = this.#schedulingPolicy.sort(steps, nowWallMs);
    sorted.forEach((step) => {
      const { tracked } = step.occurrence.job;
      if (!this.#canStart(tracked)) return;
      if (this.#previousOwners.canHaveStarted(tracked, pool, now)) return;
      // It only matters while the pool has to release hosts.
      const isDeferrable = isReleasing && this.#cost.isDeferrable(step.occurrence, nowWallMs);
      this.#planStep(step, isDeferrable ? lateRound : round, now);
    });
    this.#orderLog.report(pool, sorted, { now, nowWallMs });
  }

  #canStart({ dataCentres }: TrackedJob): boolean {
    return this.#startRule === 'all' || dataCentres.includes(this.#dataCentre);
  }

  /** Starts the waiting units of a step, up to the first one that may not or cannot start. */
  #planStep(step: ScheduledStep, round: PlacementRound, now: number): void {
    const needsAdvice = step.occurrence.job.queue.advice !== undefined;
    for (const unit of step.units.listWaiting()) {
      if (unit.notBefore > now || this.#previousOwners.canRun(unit, now)) continue;
      // All units of a step need the same, so none of them may start.
      if (!this.#runTracker.canStart(unit) || !this.#organisations.canStart(unit, now)) return;
      const allowed = needsAdvice ? this.#advice.collectAllowed(step, now) : undefined;
      const placements = round.choose(unit, allowed);
      if (placements === undefined) {
        // A step that waits for advice does not show that the pool has no capacity left.
        if (needsAdvice) this.#askAdvice(unit, round.hosts, now);
        else {
          this.#organisations.reportNoRoom(unit, now);
          this.#preempt(unit, round, now);
        }
        return;
      }
      const number = unit.takeRunNumber((this.#token - 1) * RUNS_PER_TOKEN);
      placements.forEach(({ index, host }) => this.#start(unit, index, host, number));
    }
  }

  #start(unit: WorkUnit, index: number, host: ManagedHost, number: number): void {
    const now = this.#clock.readMonotonic();
    const leaseEndMs = host.computeLeaseEnd(this.#leaseMs, now);
    const run = this.#runTracker.createRun(unit, index, host, number, now);
    if (leaseEndMs === undefined) {
      this.#runTracker.reportStart(run, { type: 'unsent' }, now);
      return;
    }
    this.#output.send({
      type: 'start',
      run,
      leaseEndMs,
      checkpoint: unit.checkpoint,
      ticket: this.#advice.findTicket(unit.step, host.id),
    });
  }

  #askAdvice({ step, spec }: WorkUnit, hosts: readonly ManagedHost[], now: number): void {
    if (this.#advice.isPending(step.id)) return;
    const request = computeResourceRequest(spec);
    const withRoom = hosts.filter((host) => host.canFit(request));
    const withoutRoom = hosts.filter((host) => !host.canFit(request));
    const planned = this.#advice.planRequest(step, [...withRoom, ...withoutRoom], now);
    if (planned !== undefined) this.#output.send({ type: 'ask-advice', step: step.id, ...planned });
  }

  /**
   * Preempts the run of lower priority whose interruption costs its caller least, to free resources
   * for a unit of higher priority.
   */
  #preempt(unit: WorkUnit, round: PlacementRound, now: number): void {
    const { priority } = unit.step.occurrence.job.queue;
    if (!round.hasLowerPriorityRun(priority)) return;
    const victims = round.hosts.flatMap((host) =>
      [...host.runs.values()].filter(
        (run) =>
          run.unit.step.occurrence.job.queue.priority > priority &&
          run.unit.spec.cpuMilli > 0 &&
          canInterrupt(run),
      ),
    );
    if (victims.some(({ state }) => state === 'stopping')) return;
    const candidates = victims
      .filter(({ state, unit: other }) => state === 'running' && other.spec.checkpoints)
      .filter(({ unit: other }) => other.spec.cpuMilli >= unit.spec.cpuMilli);
    const victim = this.#cost.chooseVictim(candidates, { now, nowWallMs: this.#clock.readWall() });
    if (victim !== undefined) this.#runTracker.stop(victim, now, 'preempted');
  }
}
