/** An order for a machine that a later owner has to know. */
export interface RecentMachineOrder {
  machine: string;
  /** Minimum time in ms since the order was issued. */
  ageMs: number;
  /** The order may not have been sent yet: its owner may send it later than the record was made. */
  isOpen?: boolean | undefined;
}

/** Options of a `RecentMachineOrders`. */
export interface RecentMachineOrdersOptions {
  /** Required pause in ms between the orders of two owners for one machine. */
  leaseMs: number;
  /** Orders that previous owners may have issued. */
  inherited: readonly RecentMachineOrder[];
  /** Monotonic time of the takeover in ms. */
  startedAt: number;
}

/**
 * Recent orders for machines, issued by this owner and by previous ones.
 *
 * An owner records each order before it sends it. A later owner therefore has to observe the pause
 * between the orders of two owners only for these machines, not for all. Ages are recorded instead
 * of times, since the clocks of two nodes may differ. An order without an outcome may wait in the
 * owner or for a connection, so for a later owner it is as recent as its takeover.
 *
 * @example
 * ```ts
 * const inherited = [{ machine: 'm-1', ageMs: 500 }];
 * const orders = new RecentMachineOrders({ leaseMs: 3_000, inherited, startedAt: 0 });
 * orders.canOrder('m-1', 2_000); // false
 * orders.canOrder('m-1', 2_500); // true
 * ```
 */
export class RecentMachineOrders {
  readonly #leaseMs: number;

  /** Monotonic time in ms until which this owner must not issue orders for a machine. */
  readonly #inheritedUntil = new Map<string, number>();

  /** Monotonic time in ms of the last order for a machine by this owner or a previous one. */
  readonly #orderedAt = new Map<string, number>();

  /** Machines with an order by this owner whose outcome is not known. */
  readonly #open = new Set<string>();

  constructor({ leaseMs, inherited, startedAt }: RecentMachineOrdersOptions) {
    this.#leaseMs = leaseMs;
    inherited.forEach(({ machine, ageMs: recordedMs, isOpen = false }) => {
      const ageMs = isOpen ? 0 : recordedMs;
      this.#inheritedUntil.set(machine, startedAt - ageMs + leaseMs);
      this.#orderedAt.set(machine, startedAt - ageMs);
    });
  }

  /** Checks whether this owner may issue orders for a machine. */
  canOrder(machine: string, now: number): boolean {
    return now >= (this.#inheritedUntil.get(machine) ?? -Infinity);
  }

  /** Adds an order that is about to be issued; it is open until its outcome is reported. */
  add(machine: string, now: number): void {
    this.#orderedAt.set(machine, now);
    this.#open.add(machine);
  }

  /** Records the outcome of an order, which the platform has received by now if it ever does. */
  settle(machine: string, now: number): void {
    this.#orderedAt.set(machine, now);
    this.#open.delete(machine);
  }

  /** Lists the orders that a later owner has to know. */
  list(now: number): RecentMachineOrder[] {
    this.#orderedAt.forEach((at, machine) => {
      if (now - at >= this.#leaseMs && !this.#open.has(machine)) this.#orderedAt.delete(machine);
    });
    return [...this.#orderedAt].map(([machine, at]) =>
      this.#open.has(machine) ? { machine, ageMs: 0, isOpen: true } : { machine, ageMs: now - at },
    );
  }
}
