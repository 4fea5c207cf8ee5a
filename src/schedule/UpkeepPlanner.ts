import type { WaveRecord } from '../workLog/mod.js';
import type { Machine, WaveOrder } from '../port/mod.js';
import { UpkeepWave } from './_UpkeepWave.js';
import type { ManagedHost } from './ManagedHost.js';

/** Part of a wave's time in which all maintenance should have begun; the rest is for trouble. */
const PLANNED_SHARE = 0.75;
/** Time that the emptying and the maintenance of one host usually take together, in ms. */
const TURN_MS = 4_500;
/** A host that is still not empty after this time is maintained only when the wave is short. */
const PATIENCE_MS = 8_000;
/** Rest of a wave's time below which short tasks are not waited for, in ms. */
const PRESSING_MS = 3_000;
/** A machine counts as being under maintenance until it is seen up, at least for this time. */
const MIN_DOWN_MS = 500;
/** Pause after a machine was busy, in ms. */
const BUSY_PAUSE_MS = 1_000;

/** What the planner reads. */
export interface UpkeepView {
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
  pressure: (pool: string) => number;
}

/** Maintenance to begin. */
export interface UpkeepOrder {
  machine: string;
  wave: number;
}

/** What the planner decided. */
export interface UpkeepPlan {
  /** Machines to empty: they take no new work. */
  emptying: Set<string>;
  /** Machines whose maintenance is to begin now. */
  orders: UpkeepOrder[];
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
export class UpkeepPlanner {
  readonly #waves = new Map<number, UpkeepWave>();

  /** Adds or changes a wave and returns true for a new one. */
  setOrder(order: WaveOrder, nowWallMs: number, record?: WaveRecord): boolean {
    const known = this.#waves.get(order.wave);
    if (known !== undefined) {
      known.order = order;
      return false;
    }
    const wave = new UpkeepWave(order, record?.seenAtMs ?? nowWallMs);
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
  isUnderway(machine: string): boolean {
    return [...this.#waves.values()].some(({ turns }) => turns.has(machine));
  }

  /**
   * Checks whether a machine is to be maintained in the last part of its wave, so that it should not
   * be moved any more.
   */
  isDue(machine: string, nowWallMs: number): boolean {
    return [...this.#waves.values()].some(
      (wave) =>
        !wave.isCompleted &&
        UpkeepPlanner.#measurePlannedMs(wave, nowWallMs) <= TURN_MS &&
        !wave.begun.has(machine) &&
        wave.hasMachine(machine),
    );
  }

  /** Records the answer to an order: begun, or to be tried again. */
  reportAnswer({ machine, wave: number }: UpkeepOrder, hasBegun: boolean, now: number): void {
    const wave = this.#waves.get(number);
    const turn = wave?.turns.get(machine);
    if (wave === undefined || turn === undefined) return;
    if (hasBegun) {
      turn.isAnswered = true;
      wave.begun.add(machine);
      return;
    }
    wave.turns.delete(machine);
    wave.notBefore.set(machine, now + BUSY_PAUSE_MS);
  }

  /** Plans the next steps of all waves. */
  plan(view: UpkeepView): UpkeepPlan {
    const plan: UpkeepPlan = { emptying: new Set(), orders: [], completed: [] };
    this.#waves.forEach((wave) => {
      if (!wave.isCompleted) UpkeepPlanner.#planWave(wave, view, plan);
    });
    return plan;
  }

  static #planWave(wave: UpkeepWave, view: UpkeepView, plan: UpkeepPlan): void {
    const { order } = wave;
    UpkeepPlanner.#closeTurns(wave, view);
    // A machine that the provider no longer lists has been removed for good.
    const open = order.machines.filter(
      (machine) => !wave.begun.has(machine) && view.machines.has(machine),
    );
    const pending = open.filter((machine) => !wave.turns.has(machine));
    if (open.length === 0) {
      wave.finish();
      plan.completed.push(order.wave);
      return;
    }
    const present = pending.filter((machine) => {
      const state = view.machines.get(machine)?.state;
      if (view.isMoving(machine)) return false;
      return state === 'up' && (wave.notBefore.get(machine) ?? 0) <= view.now;
    });
    const restMs = wave.seenAtMs + order.durationMs - view.nowWallMs;
    const places = UpkeepPlanner.#countPlaces(wave, view, open.length);
    const sorted = present
      .map((machine) => ({ machine, cost: UpkeepPlanner.#computeCost(wave, machine, view) }))
      .sort((one, other) => one.cost - other.cost)
      // What has begun to be emptied comes first, and goes on though others take the places.
      .slice(0, Math.max(places, present.filter((one) => wave.emptyingSince.has(one)).length));
    sorted.forEach(({ machine }) => {
      const host = view.hosts.get(machine);
      const since = wave.emptyingSince.get(machine) ?? view.now;
      wave.emptyingSince.set(machine, since);
      plan.emptying.add(machine);
      const isPressing = restMs < PRESSING_MS && view.now - since > PATIENCE_MS;
      if (!UpkeepPlanner.#isEmpty(machine, view, isPressing)) return;
      if (!UpkeepPlanner.#canBegin(wave, view)) return;
      wave.turns.set(machine, { orderedAt: view.now, hostId: host?.id, isAnswered: false });
      plan.orders.push({ machine, wave: order.wave });
    });
    [...wave.emptyingSince.keys()]
      .filter((machine) => !plan.emptying.has(machine))
      .forEach((machine) => wave.emptyingSince.delete(machine));
  }

  /**
   * Checks whether the maintenance of a machine ends nothing that must not be ended. Short tasks are
   * given up where the wave is pressing; lasting tasks are not, since their jobs are promised that
   * few of them are away at once.
   */
  static #isEmpty(machine: string, view: UpkeepView, isPressing: boolean): boolean {
    const host = view.hosts.get(machine);
    if (host === undefined) {
      // A host whose entry has not been read may run anything.
      const listed = view.machines.get(machine);
      return listed?.hostId === undefined || view.isStandby(listed.pool);
    }
    if (!host.isFenced) return view.isStandby(host.pool);
    if (!isPressing) return host.runs.size === 0;
    return [...host.runs.values()].every((run) => !run.unit.spec.isLasting);
  }

  /** Counts machines under maintenance, those of earlier owners included. */
  static #countDown(wave: UpkeepWave, view: UpkeepView): number {
    const others = wave.order.machines.filter(
      (machine) => !wave.turns.has(machine) && view.machines.get(machine)?.state === 'maintenance',
    );
    return wave.turns.size + others.length;
  }

  static #canBegin(wave: UpkeepWave, view: UpkeepView): boolean {
    return UpkeepPlanner.#countDown(wave, view) < wave.order.cap;
  }

  /** Measures the time in ms in which all maintenance of a wave should have begun. */
  static #measurePlannedMs({ order, seenAtMs }: UpkeepWave, nowWallMs: number): number {
    return seenAtMs + order.durationMs * PLANNED_SHARE - nowWallMs;
  }

  /** Computes how many machines to empty or to maintain at once, so that the wave is in time. */
  static #countPlaces(wave: UpkeepWave, view: UpkeepView, open: number): number {
    const { order } = wave;
    const plannedMs = UpkeepPlanner.#measurePlannedMs(wave, view.nowWallMs);
    const down = UpkeepPlanner.#countDown(wave, view);
    const atOnce = plannedMs <= TURN_MS ? Infinity : Math.ceil((open * TURN_MS) / plannedMs);
    // One machine above the cap is emptied early, so that the cap is used without a pause.
    return Math.max(0, Math.min(order.cap + 1, atOnce) - down);
  }

  static #computeCost(wave: UpkeepWave, machine: string, view: UpkeepView): number {
    const host = view.hosts.get(machine);
    // What has begun to be emptied is not given up for another.
    if (wave.emptyingSince.has(machine)) return -1_000;
    if (host === undefined) return -100;
    const room = host.used.cpuMilli / Math.max(1, host.capacity.cpuMilli);
    let lasting = 0;
    host.runs.forEach((run) => {
      if (run.unit.spec.isLasting) lasting += 1;
    });
    return 10 * Math.min(5, view.pressure(host.pool)) + room + lasting;
  }

  /** Ends the turns of machines that are up again with another life of their host. */
  static #closeTurns(wave: UpkeepWave, view: UpkeepView): void {
    [...wave.turns].forEach(([machine, turn]) => {
      if (!turn.isAnswered || view.now - turn.orderedAt < MIN_DOWN_MS) return;
      const listed = view.machines.get(machine);
      const host = view.hosts.get(machine);
      const hasNewHost = host !== undefined && host.id !== turn.hostId && host.isListed;
      const isListedUp =
        view.machinesReadAt > turn.orderedAt + MIN_DOWN_MS &&
        (listed === undefined || listed.state === 'up' || listed.state === 'down');
      if (hasNewHost || isListedUp) wave.turns.delete(machine);
    });
  }
}
