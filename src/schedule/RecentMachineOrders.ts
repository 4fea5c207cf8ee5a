/** An order for a machine that a later owner has to know. */
export interface RecentMachineOrder {
  machine: string;
  /** Minimum time in ms since the order was issued. */
  ageMs: number;
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
 * of times, since the clocks of two nodes may differ.
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

  constructor({ leaseMs, inherited, startedAt }: RecentMachineOrdersOptions) {
    this.#leaseMs = leaseMs;
    inherited.forEach(({ machine, ageMs }) => {
      this.#inheritedUntil.set(machine, startedAt - ageMs + leaseMs);
      this.#orderedAt.set(machine, startedAt - ageMs);
    });
  }

  /** Checks whether this owner may issue orders for a machine. */
  canOrder(machine: string, now: number): boolean {
    return now >= (this.#inheritedUntil.get(machine) ?? -Infinity);
  }

  /** Records that an order is about to be issued, has been sent or was not answered. */
  report(machine: string, now: number): void {
    this.#orderedAt.set(machine, now);
  }

  /** Lists the orders that a later owner has to know. */
  list(now: number): RecentMachineOrder[] {
    const orders = [...this.#orderedAt].map(([machine, at]) => ({ machine, ageMs: now - at }));
    orders
      .filter(({ ageMs }) => ageMs >= this.#leaseMs)
      .forEach(({ machine }) => this.#orderedAt.delete(machine));
    return orders.filter(({ ageMs }) => ageMs < this.#leaseMs);
  }
}
