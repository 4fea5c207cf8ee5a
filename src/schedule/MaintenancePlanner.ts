import type { WaveRecord } from '../workLog/mod.js';
import type { Machine, WaveOrder } from '../port/mod.js';
import { MaintenanceWave } from './_MaintenanceWave.js';
import type { ManagedHost } from './ManagedHost.js';

/** Part of a wave's time in which all maintenance should have begun; the rest is for trouble. */
const PLANNED_FRACTION = 0.75;
/** Time that the emptying and the maintenance of one host usually take together, in ms. */
const TYPICAL_MAINTENANCE_MS = 4_500;
/** A host that is still not empty after this time is maintained only when the wave is short. */
const EVACUATION_TIMEOUT_MS = 8_000;
/** Rest of a wave's time below which short tasks are not waited for, in ms. */
const URGENT_REMAINING_MS = 3_000;
/** A machine counts as being under maintenance until it is seen up, at least for this time. */
const MIN_MAINTENANCE_MS = 500;
/** Pause after a machine was busy, in ms. */
const RETRY_DELAY_MS = 1_000;

/** What the planner reads. */
export interface MaintenanceView {
  now: number;
  nowWallMs: number;
  /** The machines as last listed. */
  machines: ReadonlyMap<string, Machine>;
  /** Steady time at which that list was asked for. */
  machinesReadAt: number;
  /** Host that each machine carries. */
  hosts: ReadonlyMap<string, ManagedHost>;
  /** Checks whether a machine is on its way to another pool. */
  isMoving: (machine: string) => boolean;
  /** Checks whether a pool is a standby pool, whose hosts run nothing. */
  isStandby: (pool: string) => boolean;
  /** How pressed a pool is: work that waits against its room, 0 for idle. */
  measureBacklogS: (pool: string) => number;
}

/** Maintenance to begin. */
export interface MaintenanceOrder {
  machine: string;
  wave: number;
}

/** What the planner decided. */
export interface MaintenancePlan {
  /** Machines to empty: they take no new work. */
  evacuating: Set<string>;
  /** Machines whose maintenance is to begin now. */
  orders: MaintenanceOrder[];
  /** Waves that are finished with this plan. */
  completed: number[];
}

/**
 * Plans maintenance waves: which machine next, how many at once, and when a host is empty enough.
 *
 * A wave is spread over most of its time, so that as few hosts as possible are away at once;
 * machines whose pool is idle go first. A machine counts against the cap from the moment that its
 * maintenance is ordered until it is seen up with another life of its host.
 */
export class MaintenancePlanner {
  readonly #waves = new Map<number, MaintenanceWave>();

  /** Adds or changes a wave and returns true for a new one. */
  setOrder(order: WaveOrder, nowWallMs: number, record?: WaveRecord): boolean {
    const known = this.#waves.get(order.wave);
    if (known !== undefined) {
      known.order = order;
      return false;
    }
    const wave = new MaintenanceWave(order, record?.seenAtMs ?? nowWallMs);
    record?.begun.forEach((machine) => wave.begun.add(machine));
    wave.isCompleted = record?.isCompleted ?? false;
    this.#waves.set(order.wave, wave);
    return true;
  }

  /** Describes a wave for the log. */
  describe(number: number): WaveRecord | undefined {
    const wave = this.#waves.get(number);
    if (wave === undefined) return undefined;
    return { seenAtMs: wave.seenAtMs, begun: [...wave.begun], isCompleted: wave.isCompleted };
  }

  /** Checks whether the maintenance of a machine has been ordered and is not over. */
  isInProgress(machine: string): boolean {
    return [...this.#waves.values()].some(({ ongoing }) => ongoing.has(machine));
  }

  /**
   * Checks whether a machine is to be maintained in the last part of its wave, so that it should not
   * be moved any more.
   */
  isDue(machine: string, nowWallMs: number): boolean {
    return [...this.#waves.values()].some(
      (wave) =>
        !wave.isCompleted &&
        MaintenancePlanner.#measurePlannedMs(wave, nowWallMs) <= TYPICAL_MAINTENANCE_MS &&
        !wave.begun.has(machine) &&
        wave.hasMachine(machine),
    );
  }

  /** Records the answer to an order: begun, or to be tried again. */
  reportResponse(
    { machine, wave: number }: MaintenanceOrder,
    hasStarted: boolean,
    now: number,
  ): void {
    const wave = this.#waves.get(number);
    const maintenance = wave?.ongoing.get(machine);
    if (wave === undefined || maintenance === undefined) return;
    if (hasStarted) {
      maintenance.isAccepted = true;
      wave.begun.add(machine);
      return;
    }
    wave.ongoing.delete(machine);
    wave.notBefore.set(machine, now + RETRY_DELAY_MS);
  }

  /** Plans the next steps of all waves. */
  plan(view: MaintenanceView): MaintenancePlan {
    const plan: MaintenancePlan = { evacuating: new Set(), orders: [], completed: [] };
    this.#waves.forEach((wave) => {
      if (!wave.isCompleted) MaintenancePlanner.#planWave(wave, view, plan);
    });
    return plan;
  }

  static #planWave(wave: MaintenanceWave, view: MaintenanceView, plan: MaintenancePlan): void {
    const { order } = wave;
    MaintenancePlanner.#removeFinished(wave, view);
    // A machine that the provider no longer lists has been removed for good.
    const unfinished = order.machines.filter(
      (machine) => !wave.begun.has(machine) && view.machines.has(machine),
    );
    const pending = unfinished.filter((machine) => !wave.ongoing.has(machine));
    if (unfinished.length === 0) {
      wave.markCompleted();
      plan.completed.push(order.wave);
      return;
    }
    const eligible = pending.filter((machine) => {
      const state = view.machines.get(machine)?.state;
      if (view.isMoving(machine)) return false;
      return state === 'up' && (wave.notBefore.get(machine) ?? 0) <= view.now;
    });
    const remainingMs = wave.seenAtMs + order.durationMs - view.nowWallMs;
    const slots = MaintenancePlanner.#countSlots(wave, view, unfinished.length);
    const selected = eligible
      .map((machine) => ({ machine, cost: MaintenancePlanner.#computeCost(wave, machine, view) }))
      .sort((one, other) => one.cost - other.cost)
      // What has begun to be emptied comes first, and goes on though others take the places.
      .slice(0, Math.max(slots, eligible.filter((one) => wave.evacuatingSince.has(one)).length));
    selected.forEach(({ machine }) => {
      const host = view.hosts.get(machine);
      const since = wave.evacuatingSince.get(machine) ?? view.now;
      wave.evacuatingSince.set(machine, since);
      plan.evacuating.add(machine);
      const isUrgent =
        remainingMs < URGENT_REMAINING_MS && view.now - since > EVACUATION_TIMEOUT_MS;
      if (!MaintenancePlanner.#canMaintain(machine, view, isUrgent)) return;
      if (!MaintenancePlanner.#hasFreeSlot(wave, view)) return;
      wave.ongoing.set(machine, { orderedAt: view.now, hostId: host?.id, isAccepted: false });
      plan.orders.push({ machine, wave: order.wave });
    });
    [...wave.evacuatingSince.keys()]
      .filter((machine) => !plan.evacuating.has(machine))
      .forEach((machine) => wave.evacuatingSince.delete(machine));
  }

  /**
   * Checks whether the maintenance of a machine ends nothing that must not be ended. Short tasks are
   * given up where the wave is pressing; lasting tasks are not, since their jobs are promised that
   * few of them are away at once.
   */
  static #canMaintain(machine: string, view: MaintenanceView, isUrgent: boolean): boolean {
    const host = view.hosts.get(machine);
    if (host === undefined) {
      // A host whose entry has not been read may run anything.
      const listed = view.machines.get(machine);
      return listed?.hostId === undefined || view.isStandby(listed.pool);
    }
    if (!host.isFenced) return view.isStandby(host.pool);
    if (!isUrgent) return host.runs.size === 0;
    return [...host.runs.values()].every((run) => !run.unit.spec.isLasting);
  }

  /** Counts machines under maintenance, those of earlier owners included. */
  static #countUnavailable(wave: MaintenanceWave, view: MaintenanceView): number {
    const others = wave.order.machines.filter(
      (machine) =>
        !wave.ongoing.has(machine) && view.machines.get(machine)?.state === 'maintenance',
    );
    return wave.ongoing.size + others.length;
  }

  static #hasFreeSlot(wave: MaintenanceWave, view: MaintenanceView): boolean {
    return MaintenancePlanner.#countUnavailable(wave, view) < wave.order.cap;
  }

  /** Measures the time in ms in which all maintenance of a wave should have begun. */
  static #measurePlannedMs({ order, seenAtMs }: MaintenanceWave, nowWallMs: number): number {
    return seenAtMs + order.durationMs * PLANNED_FRACTION - nowWallMs;
  }

  /** Computes how many machines to empty or to maintain at once, so that the wave is in time. */
  static #countSlots(
    wave: MaintenanceWave,
    view: MaintenanceView,
    unfinishedCount: number,
  ): number {
    const { order } = wave;
    const plannedMs = MaintenancePlanner.#measurePlannedMs(wave, view.nowWallMs);
    const down = MaintenancePlanner.#countUnavailable(wave, view);
    const concurrency =
      plannedMs <= TYPICAL_MAINTENANCE_MS
        ? Infinity
        : Math.ceil((unfinishedCount * TYPICAL_MAINTENANCE_MS) / plannedMs);
    // One machine above the cap is emptied early, so that the cap is used without a pause.
    return Math.max(0, Math.min(order.cap + 1, concurrency) - down);
  }

  static #computeCost(wave: MaintenanceWave, machine: string, view: MaintenanceView): number {
    const host = view.hosts.get(machine);
    // What has begun to be emptied is not given up for another.
    if (wave.evacuatingSince.has(machine)) return -1_000;
    if (host === undefined) return -100;
    const utilization = host.used.cpuMilli / Math.max(1, host.capacity.cpuMilli);
    let lasting = 0;
    host.runs.forEach((run) => {
      if (run.unit.spec.isLasting) lasting += 1;
    });
    return 10 * Math.min(5, view.measureBacklogS(host.pool)) + utilization + lasting;
  }

  /** Ends the turns of machines that are up again with another life of their host. */
  static #removeFinished(wave: MaintenanceWave, view: MaintenanceView): void {
    [...wave.ongoing].forEach(([machine, maintenance]) => {
      if (!maintenance.isAccepted || view.now - maintenance.orderedAt < MIN_MAINTENANCE_MS) return;
      const listed = view.machines.get(machine);
      const host = view.hosts.get(machine);
      const hasNewHost = host !== undefined && host.id !== maintenance.hostId && host.isListed;
      const isListedUp =
        view.machinesReadAt > maintenance.orderedAt + MIN_MAINTENANCE_MS &&
        (listed === undefined || listed.state === 'up' || listed.state === 'down');
      if (hasNewHost || isListedUp) wave.ongoing.delete(machine);
    });
  }
}
