import type { WaveOrder } from '../port/mod.js';

/** Maintenance of one machine that has been ordered and has not finished. */
export interface OngoingMaintenance {
  orderedAt: number;
  /** Host incarnation on the machine before the maintenance. */
  hostId: string | undefined;
  isAccepted: boolean;
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

  #order: WaveOrder;

  #machines: ReadonlySet<string>;

  constructor(order: WaveOrder, seenAtMs: number) {
    this.#order = order;
    this.#machines = new Set(order.machines);
    this.seenAtMs = seenAtMs;
  }

  get order(): WaveOrder {
    return this.#order;
  }

  set order(order: WaveOrder) {
    this.#order = order;
    this.#machines = new Set(order.machines);
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
