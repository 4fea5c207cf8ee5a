import type { WaveRecord } from '../workLog/mod.js';
import type { Machine, WaveOrder } from '../port/mod.js';
import { MaintenanceWave, type ReadTime } from './_MaintenanceWave.js';
import type { ManagedHost } from './ManagedHost.js';

/** Fraction of a wave's duration in which all maintenance should start; the rest is a reserve. */
const PLANNED_FRACTION = 0.75;
/** Usual time in ms to evacuate and maintain one host. */
const TYPICAL_MAINTENANCE_MS = 4_500;
/** Minimum time in ms that an urgent wave waits for the runs of a host before it ends them. */
const EVACUATION_TIMEOUT_MS = 8_000;
/** Remaining time in ms below which a wave is urgent: it may end short runs instead of waiting. */
const URGENT_REMAINING_MS = 3_000;
/** Minimum time in ms for which a machine counts as under maintenance, even if it is seen up. */
const MIN_MAINTENANCE_MS = 500;
/** Delay in ms before maintenance is ordered again after the provider did not accept the order. */
const RETRY_DELAY_MS = 1_000;

/** Inputs of a `MaintenancePlanner`. */
export interface MaintenanceView {
  now: number;
  nowWallMs: number;
  /** The last machine list. */
  machines: ReadonlyMap<string, Machine>;
  /** Monotonic time at which that list was requested. */
  machinesReadAt: number;
  /** Host on each machine. */
  hosts: ReadonlyMap<string, ManagedHost>;
  /** Checks whether a machine is being moved to another pool. */
  isMoving: (machine: string) => boolean;
  /** Checks whether a pool is a standby pool, whose hosts run no tasks. */
  isStandby: (pool: string) => boolean;
  /** Measures the backlog of a pool: the time in s that its hosts need for the waiting work. */
  measureBacklogS: (pool: string) => number;
}

/** Maintenance of one machine that is to be started. */
export interface MaintenanceOrder {
  machine: string;
  wave: number;
}

/** Outcome of an order: a refused one was certainly not executed. */
export type MaintenanceOutcome = 'started' | 'refused' | 'unanswered';

/** Decisions of a `MaintenancePlanner`. */
export interface MaintenancePlan {
  /** Machines to evacuate; they receive no new work. */
  evacuating: Set<string>;
  /** Machines whose maintenance is to start now. */
  orders: MaintenanceOrder[];
  /** Waves that are completed. */
  completed: number[];
}

/**
 * Plans maintenance waves: which machines are next, how many are maintained concurrently, and when
 * the maintenance of an evacuated host may start.
 *
 * A wave is spread over most of its duration, so that as few hosts as possible are unavailable at
 * the same time; machines in idle pools go first. A machine counts against the cap from the order
 * of its maintenance until it is up again with a new incarnation of its host.
 */
export class MaintenancePlanner {
  readonly #waves = new Map<number, MaintenanceWave>();

  /** Adds or updates a wave; returns true if it is new. */
  setOrder(order: WaveOrder, readTime: ReadTime, record?: WaveRecord): boolean {
    const known = this.#waves.get(order.wave);
    if (known !== undefined) {
      known.updateOrder(order, readTime.now);
      return false;
    }
    this.#waves.set(order.wave, new MaintenanceWave(order, readTime, record));
    return true;
  }

  /** Describes the progress of a wave for the work log. */
  describe(number: number): WaveRecord | undefined {
    return this.#waves.get(number)?.describe();
  }

  /** Checks whether the maintenance of a machine has been ordered and has not finished. */
  isInProgress(machine: string): boolean {
    return [...this.#waves.values()].some(({ ongoing }) => ongoing.has(machine));
  }

  /**
   * Checks whether the maintenance of a machine is due and its wave is close to the end of its
   * planned time, so that the machine should no longer be moved.
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

  /**
   * Handles the response to an order: the maintenance has started, or is ordered again after a delay.
   *
   * A machine whose order was not answered keeps its place below the cap, and stays evacuated, until
   * a repeated order is accepted: the provider answers it in the same way if the first one has been
   * executed. A refusal of the repeated order tells nothing about the first one.
   */
  reportResponse(
    { machine, wave: number }: MaintenanceOrder,
    outcome: MaintenanceOutcome,
    now: number,
  ): void {
    const wave = this.#waves.get(number);
    const maintenance = wave?.ongoing.get(machine);
    if (wave === undefined || maintenance === undefined) return;
    if (outcome === 'started') {
      maintenance.isAccepted = true;
      wave.begun.add(machine);
      return;
    }
    if (outcome === 'unanswered') maintenance.isUnsettled = true;
    if (maintenance.isUnsettled) {
      maintenance.repeatFrom = now + RETRY_DELAY_MS;
      return;
    }
    wave.ongoing.delete(machine);
    wave.notBefore.set(machine, now + RETRY_DELAY_MS);
  }

  /** Plans the next actions of all waves. */
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
    const unfinished = order.machines.filter(
      (machine) => !wave.begun.has(machine) && !MaintenancePlanner.#isRemoved(machine, wave, view),
    );
    const pending = unfinished.filter((machine) => !wave.ongoing.has(machine));
    if (unfinished.length === 0) {
      wave.markCompleted();
      plan.completed.push(order.wave);
      return;
    }
    MaintenancePlanner.#retryUnsettled(wave, view, plan);
    const eligible = pending.filter((machine) => {
      const state = view.machines.get(machine)?.state;
      if (view.isMoving(machine)) return false;
      return state === 'up' && (wave.notBefore.get(machine) ?? 0) <= view.now;
    });
    const slots = MaintenancePlanner.#countSlots(wave, view, unfinished.length);
    const selected = eligible
      .map((machine) => ({ machine, cost: MaintenancePlanner.#computeCost(wave, machine, view) }))
      .sort((one, other) => one.cost - other.cost)
      // Evacuations that have started come first and continue even if other machines use all slots.
      .slice(0, Math.max(slots, eligible.filter((one) => wave.evacuatingSince.has(one)).length));
    selected.forEach(({ machine }) => {
      const isEvacuated = MaintenancePlanner.#evacuate(wave, machine, view);
      plan.evacuating.add(machine);
      if (!isEvacuated || !MaintenancePlanner.#hasFreeSlot(wave, view)) return;
      wave.recordOrder(machine, view.now, view.hosts.get(machine)?.id);
      plan.orders.push({ machine, wave: order.wave });
    });
    [...wave.evacuatingSince.keys()]
      .filter((machine) => !plan.evacuating.has(machine))
      .forEach((machine) => wave.evacuatingSince.delete(machine));
  }

  /**
   * Checks whether a machine has been removed permanently: it is missing from a machine list that
   * was requested after this owner had read the order that names it and had found its host, if any.
   */
  static #isRemoved(machine: string, wave: MaintenanceWave, view: MaintenanceView): boolean {
    if (view.machines.has(machine)) return false;
    const knownSince = Math.max(wave.readAt, view.hosts.get(machine)?.discoveredAt ?? -Infinity);
    return view.machinesReadAt > knownSince;
  }

  /** Orders the maintenance of machines again whose order has not been answered. */
  static #retryUnsettled(
    wave: MaintenanceWave,
    view: MaintenanceView,
    plan: MaintenancePlan,
  ): void {
    [...wave.ongoing].forEach(([machine, { isAccepted, isUnsettled, repeatFrom }]) => {
      if (isAccepted || !isUnsettled) return;
      if (MaintenancePlanner.#isRemoved(machine, wave, view)) wave.ongoing.delete(machine);
      if (view.machines.get(machine)?.state !== 'up') return;
      const isEvacuated = MaintenancePlanner.#evacuate(wave, machine, view);
      plan.evacuating.add(machine);
      if (!isEvacuated || repeatFrom === undefined || repeatFrom > view.now) return;
      if (view.isMoving(machine)) return;
      wave.recordOrder(machine, view.now, view.hosts.get(machine)?.id);
      plan.orders.push({ machine, wave: wave.order.wave });
    });
  }

  /** Begins or continues the evacuation of a machine; returns whether it may be maintained now. */
  static #evacuate(wave: MaintenanceWave, machine: string, view: MaintenanceView): boolean {
    const since = wave.evacuatingSince.get(machine) ?? view.now;
    wave.evacuatingSince.set(machine, since);
    const remainingMs = wave.seenAtMs + wave.order.durationMs - view.nowWallMs;
    const isUrgent = remainingMs < URGENT_REMAINING_MS && view.now - since > EVACUATION_TIMEOUT_MS;
    return MaintenancePlanner.#canMaintain(machine, view, isUrgent);
  }

  /**
   * Checks whether maintenance of a machine would end no run that has to be kept. If the wave is
   * urgent, it may end short runs, but never long-running ones, since these have disruption
   * budgets.
   */
  static #canMaintain(machine: string, view: MaintenanceView, isUrgent: boolean): boolean {
    const host = view.hosts.get(machine);
    if (host === undefined) {
      // A host whose entry has not been read may have unknown runs.
      const listed = view.machines.get(machine);
      return listed?.hostId === undefined || view.isStandby(listed.pool);
    }
    if (!host.isFenced) return view.isStandby(host.pool);
    if (!isUrgent) return host.runs.size === 0;
    return [...host.runs.values()].every((run) => !run.unit.spec.isLasting);
  }

  /** Counts the machines under maintenance, including maintenance ordered by previous owners. */
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

  /** Measures the remaining time in ms in which all maintenance of a wave should start. */
  static #measurePlannedMs({ order, seenAtMs }: MaintenanceWave, nowWallMs: number): number {
    return seenAtMs + order.durationMs * PLANNED_FRACTION - nowWallMs;
  }

  /**
   * Computes how many machines to evacuate or maintain concurrently, in addition to those that are
   * unavailable, so that the wave finishes in time.
   */
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
    // One machine above the cap is evacuated in advance, so that the cap is fully used.
    return Math.max(0, Math.min(order.cap + 1, concurrency) - down);
  }

  static #computeCost(wave: MaintenanceWave, machine: string, view: MaintenanceView): number {
    const host = view.hosts.get(machine);
    // An evacuation that has started is not abandoned in favor of another machine.
    if (wave.evacuatingSince.has(machine)) return -1_000;
    if (host === undefined) return -100;
    const utilization = host.used.cpuMilli / Math.max(1, host.capacity.cpuMilli);
    let lasting = 0;
    host.runs.forEach((run) => {
      if (run.unit.spec.isLasting) lasting += 1;
    });
    return 10 * Math.min(5, view.measureBacklogS(host.pool)) + utilization + lasting;
  }

  /** Removes the maintenance of machines that are up again with a new incarnation of their host. */
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
