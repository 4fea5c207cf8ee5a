import type { WaveRecord } from '../workLog/mod.js';
import type { MachineResponse, PoolConfig, WaveOrder } from '../port/mod.js';
import type { ReadTime } from './_MaintenanceWave.js';
import { canInterrupt } from './canInterrupt.js';
import type { HostTable } from './HostTable.js';
import { IdleHostLending } from './IdleHostLending.js';
import type { ManagedHost } from './ManagedHost.js';
import type { PoolLoad, WaitingWork } from './PoolLoad.js';
import type { PoolSizing, PoolView } from './PoolSizing.js';
import type { RecentMachineOrders } from './RecentMachineOrders.js';
import type { RunTracker } from './RunTracker.js';
import type { ShardOptions } from './ShardOptions.js';
import type { MachineSubject, ShardOutput } from './ShardCommand.js';
import { MaintenancePlanner, type MaintenanceOutcome } from './MaintenancePlanner.js';

/** A move is abandoned if its host is not up after this multiple of the usual duration. */
const MOVE_TIMEOUT_FACTOR = 4;
/** Time in ms after which tasks with checkpoints are stopped on a host to be maintained. */
const STOP_RESUMABLE_AFTER_MS = 2_500;

/** Delay in ms before a machine is moved again after the provider refused to move it. */
const REFUSED_PAUSE_MS = 1_000;

/** Minimum interval in ms between log records of one pool with waiting work. */
const OVERLOAD_LOG_INTERVAL_MS = 1_000;
/** Minimum backlog in ms from which the state of a pool is logged. */
const MIN_LOGGED_BACKLOG_MS = 500;

/** Collaborators of a `MachinePlanner`. */
export interface MachinePlannerParts {
  hosts: HostTable;
  runTracker: RunTracker;
  load: PoolLoad;
  output: ShardOutput;
  orders: RecentMachineOrders;
  sizing?: PoolSizing;
}

/** Inputs of pool sizing besides the pools. */
interface SizingInputs {
  /** Host on each machine. */
  hosts: ReadonlyMap<string, ManagedHost>;
  /** Waiting work by pool. */
  waiting: ReadonlyMap<string, WaitingWork>;
  nowWallMs: number;
}

interface Move {
  pool: string;
  orderedAt: number;
  isAccepted: boolean;
}

function toOutcome({ type }: { type: string }): MaintenanceOutcome {
  if (type === 'done') return 'started';
  return type === 'unanswered' ? 'unanswered' : 'refused';
}

/** Turns the decisions of pool sizing and of maintenance planning into orders for machines. */
export class MachinePlanner {
  readonly #options: ShardOptions;

  readonly #hosts: HostTable;

  readonly #runTracker: RunTracker;

  readonly #load: PoolLoad;

  readonly #output: ShardOutput;

  readonly #orders: RecentMachineOrders;

  readonly #sizing: PoolSizing;

  readonly #maintenance = new MaintenancePlanner();

  readonly #moves = new Map<string, Move>();

  /** Monotonic time until which a machine is not moved because the provider refused a move. */
  readonly #refusedUntil = new Map<string, number>();

  /**
   * Monotonic time at which a move arrived, timed out or was not answered. Machine lists that were
   * requested before do not show its outcome.
   */
  readonly #settledAt = new Map<string, number>();

  /** Pools that have to release hosts. */
  #releasing: ReadonlySet<string> = new Set();

  readonly #overloadLoggedAt = new Map<string, number>();

  readonly #evacuatingSince = new Map<string, number>();

  readonly dirtyWaves = new Set<number>();

  readonly #openWaves = new Set<number>();

  constructor(options: ShardOptions, parts: MachinePlannerParts) {
    this.#options = options;
    this.#hosts = parts.hosts;
    this.#runTracker = parts.runTracker;
    this.#load = parts.load;
    this.#output = parts.output;
    this.#orders = parts.orders;
    this.#sizing = parts.sizing ?? new IdleHostLending(options);
  }

  /** Checks whether the machine list is needed to follow moves or maintenance. */
  get needsMachineList(): boolean {
    return this.#moves.size > 0 || this.#openWaves.size > 0 || this.#settledAt.size > 0;
  }

  /** Adds or updates a wave requested by the operator. */
  setWave(order: WaveOrder, readTime: ReadTime, record: WaveRecord | undefined): void {
    if (!this.#maintenance.setOrder(order, readTime, record)) return;
    if (record?.isCompleted === true) {
      // The owner that recorded the completion may have stopped before it published it.
      this.#output.send({ type: 'publish-wave', wave: order.wave, state: 'completed' });
      return;
    }
    this.#openWaves.add(order.wave);
    this.dirtyWaves.add(order.wave);
    this.#output.send({ type: 'publish-wave', wave: order.wave, state: 'running' });
  }

  /** Returns the waves whose progress has to be recorded, and clears the set. */
  takeDirtyWaves(): [number, WaveRecord][] {
    const records = [...this.dirtyWaves].flatMap((wave): [number, WaveRecord][] => {
      const record = this.#maintenance.describe(wave);
      return record === undefined ? [] : [[wave, record]];
    });
    this.dirtyWaves.clear();
    return records;
  }

  /** Plans the maintenance of all open waves and sends the orders. */
  planMaintenance(now: number, nowWallMs: number, pools: ReadonlyMap<string, PoolConfig>): void {
    if (this.#openWaves.size === 0) return;
    if (this.#hosts.machinesReadAt === -Infinity) return;
    const waiting = this.#load.measureWaiting(now, nowWallMs);
    const backlogs = this.#load.computeBacklogs(now, pools, waiting);
    const hosts = this.#hosts.collectByMachine();
    const plan = this.#maintenance.plan({
      now,
      nowWallMs,
      machines: this.#hosts.machines,
      isMoving: (machine) => this.#moves.has(machine) || !this.#orders.canOrder(machine, now),
      machinesReadAt: this.#hosts.machinesReadAt,
      hosts,
      isStandby: (pool) => pools.get(pool)?.isStandby ?? false,
      measureBacklogS: (pool) => (backlogs[pool] ?? 0) / 1_000,
    });
    // All hosts, since one that the host list has lost may return after the end of the wave.
    [...this.#hosts.hosts].forEach((host) =>
      this.#evacuate(host, plan.evacuating.has(host.machine), now),
    );
    plan.orders.forEach((order) => {
      const host = hosts.get(order.machine);
      if (host !== undefined) host.isLeaving = true;
      this.#orders.add(order.machine, now);
      this.dirtyWaves.add(order.wave);
      this.#output.send({ type: 'maintain', ...order, host });
    });
    plan.completed.forEach((wave) => {
      this.#openWaves.delete(wave);
      this.dirtyWaves.add(wave);
      this.#output.send({ type: 'publish-wave', wave, state: 'completed' });
    });
  }

  /** Plans moves between pools and sends the orders. */
  planMoves(now: number, nowWallMs: number, pools: ReadonlyMap<string, PoolConfig>): void {
    if (this.#hosts.machinesReadAt === -Infinity) return;
    this.#removeFinishedMoves(now);
    const hosts = this.#hosts.collectByMachine();
    const waiting = this.#load.measureWaiting(now, nowWallMs);
    const views = this.#describePools(now, pools, { hosts, waiting, nowWallMs });
    views.forEach((view) => this.#logOverload(view, now));
    const { moves, releasing } = this.#sizing.plan(views);
    this.#releasing = new Set(releasing);
    moves.forEach(({ machine, to }) => {
      const host = hosts.get(machine);
      if (host !== undefined) host.isLeaving = true;
      this.#moves.set(machine, { pool: to, orderedAt: now, isAccepted: false });
      this.#orders.add(machine, now);
      this.#output.send({ type: 'move', machine, pool: to, host });
    });
  }

  /**
   * Chooses the hosts of a pool that late jobs may use: all of them, unless the pool has to release
   * hosts. In that case late jobs may use only hosts that stay in the pool anyway.
   */
  chooseHostsForLateJobs(pool: string, hosts: readonly ManagedHost[]): readonly ManagedHost[] {
    if (!this.#releasing.has(pool)) return hosts;
    const hasLastingRun = (host: ManagedHost): boolean =>
      [...host.runs.values()].some(({ unit }) => unit.spec.isLasting);
    const free = hosts.filter((host) => !hasLastingRun(host));
    const kept = Math.max(0, this.#options.keepHosts - (hosts.length - free.length));
    const fullest = free.sort((one, other) => other.used.cpuMilli - one.used.cpuMilli);
    return [...hosts.filter(hasLastingRun), ...fullest.slice(0, kept)];
  }

  /**
   * Checks whether an order may still be sent: the machine has the same incarnation of its host as
   * when the order was planned.
   */
  isOrderWanted({ machine, host }: MachineSubject): boolean {
    return this.#hosts.collectByMachine().get(machine) === host;
  }

  /**
   * Handles a response of the provider; returns the host whose incarnation it ended, if any.
   *
   * The provider also answers "done" if the operation was done before. For a move, the incarnation
   * that the order was sent for has ended in either case, unless it already serves in that pool.
   * For maintenance, only the machine list tells which incarnation was ended.
   */
  reportResponse(
    { machine, pool, wave, host }: MachineSubject,
    answer: MachineResponse | { type: 'unanswered' },
    now: number,
  ): ManagedHost | undefined {
    const isDone = answer.type === 'done';
    if (wave !== undefined) {
      this.#maintenance.reportResponse({ machine, wave }, toOutcome(answer), now);
      this.dirtyWaves.add(wave);
    } else {
      const move = this.#moves.get(machine);
      if (move !== undefined && isDone) move.isAccepted = true;
      if (!isDone) {
        this.#moves.delete(machine);
        if (answer.type === 'unanswered') this.#settledAt.set(machine, now);
        this.#refusedUntil.set(machine, now + REFUSED_PAUSE_MS);
      }
    }
    this.#output.record({
      decision: wave === undefined ? 'machine-move' : 'machine-maintenance',
      subject: machine,
      inputs: { pool, wave, answer: answer.type, host: host?.id },
    });
    if (host === undefined || host.hasEnded) return undefined;
    if (isDone && wave !== undefined) {
      host.markEndClaimed(now);
      return undefined;
    }
    if (isDone && host.pool !== pool) return host;
    // An unanswered order may still be executed: the host gets no work until the machine list can
    // show the outcome.
    if (answer.type === 'unanswered') host.suspend(now + this.#options.moveMs);
    host.setLeaving(false);
    return undefined;
  }

  #evacuate(host: ManagedHost, isEvacuating: boolean, now: number): void {
    // eslint-disable-next-line no-param-reassign -- the host is owned by the shard
    host.isEvacuating = isEvacuating;
    if (!isEvacuating) {
      this.#evacuatingSince.delete(host.id);
      return;
    }
    const since = this.#evacuatingSince.get(host.id) ?? now;
    this.#evacuatingSince.set(host.id, since);
    host.runs.forEach((run) => {
      if (run.state !== 'running') return;
      const { isLasting, checkpoints } = run.unit.spec;
      const mustStop = isLasting || (checkpoints && now - since > STOP_RESUMABLE_AFTER_MS);
      if (mustStop && canInterrupt(run)) this.#runTracker.stop(run, now, 'maintenance');
    });
  }

  #describePools(
    now: number,
    pools: ReadonlyMap<string, PoolConfig>,
    { hosts, waiting, nowWallMs }: SizingInputs,
  ): PoolView[] {
    const backlogs = this.#load.computeBacklogs(now, pools, waiting);
    return [...pools.values()].map(({ name, isStandby }) => {
      const availableHosts = this.#hosts.listInPool(name).filter((host) => host.isAvailable(now));
      const idle = isStandby
        ? this.#listStandby(name)
        : availableHosts
            .filter((host) => host.runs.size === 0 && hosts.get(host.machine) === host)
            .map((host) => ({ machine: host.machine, idleMs: this.#load.measureIdle(host, now) }));
      return {
        name,
        isStandby,
        size: availableHosts.length,
        incoming: [...this.#moves.values()].filter(({ pool }) => pool === name).length,
        waitingHosts: waiting.get(name)?.hosts ?? 0,
        timelyHosts: waiting.get(name)?.timelyHosts ?? 0,
        lastingHosts: waiting.get(name)?.lastingHosts ?? 0,
        risingHosts: isStandby ? 0 : this.#load.measureRisingHosts(name, now),
        expectedHosts: isStandby ? 0 : this.#load.measureExpectedHosts(name, now),
        backlogMs: backlogs[name] ?? 0,
        idle: idle.filter(
          ({ machine }) =>
            this.#isMovable(machine, now) && !this.#maintenance.isDue(machine, nowWallMs),
        ),
      };
    });
  }

  /** Logs the state of a pool with waiting work, so that the lateness of a job can be explained. */
  #logOverload({ name, backlogMs, idle, ...inputs }: PoolView, now: number): void {
    if (backlogMs < MIN_LOGGED_BACKLOG_MS) return;
    if (now - (this.#overloadLoggedAt.get(name) ?? -Infinity) < OVERLOAD_LOG_INTERVAL_MS) return;
    this.#overloadLoggedAt.set(name, now);
    this.#output.record({
      decision: 'pool-pressed',
      subject: name,
      inputs: { ...inputs, backlogMs, idle: idle.length },
    });
  }

  #isMovable(machine: string, now: number): boolean {
    return (
      !this.#moves.has(machine) &&
      this.#orders.canOrder(machine, now) &&
      !this.#maintenance.isInProgress(machine) &&
      !this.#settledAt.has(machine) &&
      (this.#refusedUntil.get(machine) ?? 0) <= now &&
      this.#hosts.machines.get(machine)?.state === 'up'
    );
  }

  /** Lists standby machines from the machine list, since they run no hosts that accept work. */
  #listStandby(pool: string): { machine: string; idleMs: number }[] {
    return [...this.#hosts.machines.values()]
      .filter((machine) => machine.pool === pool && machine.state === 'up')
      .map(({ name }) => ({ machine: name, idleMs: Infinity }));
  }

  /** Removes moves whose machine is up in its new pool, and moves that have timed out. */
  #removeFinishedMoves(now: number): void {
    this.#settledAt.forEach((settledAt, machine) => {
      if (this.#hosts.machinesReadAt > settledAt) this.#settledAt.delete(machine);
    });
    const hosts = this.#hosts.collectByMachine();
    [...this.#moves].forEach(([machine, move]) => {
      const host = hosts.get(machine);
      const listed = this.#hosts.machines.get(machine);
      const isReadAfter = this.#hosts.machinesReadAt > move.orderedAt + this.#options.moveMs;
      const hasArrived =
        move.isAccepted &&
        (host?.pool === move.pool ||
          (isReadAfter && listed?.pool === move.pool && listed.state === 'up'));
      const isOverdue = now - move.orderedAt > MOVE_TIMEOUT_FACTOR * this.#options.moveMs;
      if (!hasArrived && !isOverdue) return;
      this.#moves.delete(machine);
      this.#settledAt.set(machine, now);
    });
  }
}
