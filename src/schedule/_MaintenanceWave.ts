import type { WaveOrder } from '../port/mod.js';
import type { WaveRecord } from '../workLog/mod.js';

/** Maintenance of one machine that has been ordered and has not finished. */
export interface OngoingMaintenance {
  orderedAt: number;
  /** Host incarnation on the machine before the maintenance. */
  hostId: string | undefined;
  isAccepted: boolean;
  /**
   * An order has not been answered, so it may still be executed, even after newer ones. Only an
   * accepted order for the same machine settles this.
   */
  isUnsettled: boolean;
  /** Monotonic time from which the order may be repeated; undefined while one is under way. */
  repeatFrom: number | undefined;
}

/** Time at which an order was read: on the monotonic clock and in ms since the Unix epoch. */
export interface ReadTime {
  now: number;
  nowWallMs: number;
}

/** A maintenance wave and its progress. */
export class MaintenanceWave {
  /** Machines whose maintenance has started. */
  readonly begun = new Set<string>();

  /** Ongoing maintenance by machine. */
  readonly ongoing = new Map<string, OngoingMaintenance>();

  /** Monotonic start time of the evacuation of each machine being evacuated. */
  readonly evacuatingSince = new Map<string, number>();

  /** Monotonic time before which the maintenance of a machine is not ordered again. */
  readonly notBefore = new Map<string, number>();

  isCompleted = false;

  readonly seenAtMs: number;

  /** Monotonic time at which this owner read the current order. */
  readAt: number;

  #order: WaveOrder;

  #machines: ReadonlySet<string>;

  /** @param readTime Time at which the order was read, by both clocks in ms. */
  constructor(order: WaveOrder, readTime: ReadTime, record?: WaveRecord) {
    record?.begun.forEach((machine) => this.begun.add(machine));
    record?.ordered
      .filter((machine) => !this.begun.has(machine))
      .forEach((machine) => {
        const maintenance = { orderedAt: -Infinity, hostId: undefined, isAccepted: false };
        this.ongoing.set(machine, { ...maintenance, isUnsettled: true, repeatFrom: -Infinity });
      });
    this.isCompleted = record?.isCompleted ?? false;
    this.#order = order;
    this.#machines = new Set(order.machines);
    this.seenAtMs = record?.seenAtMs ?? readTime.nowWallMs;
    this.readAt = readTime.now;
  }

  get order(): WaveOrder {
    return this.#order;
  }

  /** Replaces the order with one that was read at a monotonic time. */
  updateOrder(order: WaveOrder, readAt: number): void {
    if (order === this.#order) return;
    this.#order = order;
    this.#machines = new Set(order.machines);
    this.readAt = readAt;
  }

  /** Describes the progress of the wave for the work log. */
  describe(): WaveRecord {
    const ordered = [...this.ongoing].filter(([, { isAccepted }]) => !isAccepted);
    return {
      seenAtMs: this.seenAtMs,
      begun: [...this.begun],
      ordered: ordered.map(([machine]) => machine),
      isCompleted: this.isCompleted,
    };
  }

  /** Records that the maintenance of a machine is ordered, for the first time or again. */
  recordOrder(machine: string, orderedAt: number, hostId: string | undefined): void {
    const isUnsettled = this.ongoing.get(machine)?.isUnsettled ?? false;
    const repeatFrom = undefined;
    this.ongoing.set(machine, { orderedAt, hostId, isAccepted: false, isUnsettled, repeatFrom });
  }

  /** Checks whether the wave includes a machine. */
  hasMachine(machine: string): boolean {
    return this.#machines.has(machine);
  }

  /** Marks the wave as completed. */
  markCompleted(): void {
    this.isCompleted = true;
  }
}
