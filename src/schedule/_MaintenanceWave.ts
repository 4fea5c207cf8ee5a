import type { WaveOrder } from '../port/mod.js';

/** Maintenance of one machine that has been ordered. */
export interface OngoingMaintenance {
  orderedAt: number;
  /** Host life that the machine carried before. */
  hostId: string | undefined;
  isAccepted: boolean;
}

/** A wave that is being carried out. */
export class MaintenanceWave {
  readonly begun = new Set<string>();

  readonly ongoing = new Map<string, OngoingMaintenance>();

  readonly evacuatingSince = new Map<string, number>();

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

  /** Marks every machine as done. */
  markCompleted(): void {
    this.isCompleted = true;
  }
}
