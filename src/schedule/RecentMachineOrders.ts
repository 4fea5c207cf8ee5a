/** An order about a machine that a successor has to know of. */
export interface RecentMachineOrder {
  machine: string;
  /** Time in ms since the order was given, at least. */
  ageMs: number;
}

/** Orders that earlier owners may have given, and the pause that has to follow them. */
export interface RecentMachineOrdersOptions {
  /** Pause between orders of two holders about one machine, in ms. */
  leaseMs: number;
  /** Orders that earlier owners may have given. */
  inherited: readonly RecentMachineOrder[];
  /** Steady time of the takeover in ms. */
  startedAt: number;
}

/**
 * The orders about machines of a short while ago, of this owner and of earlier ones.
 *
 * The owner records them before it gives an order, so that a successor has to leave alone only these
 * machines, and not all of them, until the pause between two holders has passed. Ages are recorded
 * in place of times, since the clocks of two nodes may differ.
 *
 * @example
 * ```ts
 * const inherited = [{ machine: 'm-1', ageMs: 500 }];
 * const orders = new RecentOrders({ leaseMs: 3_000, inherited, startedAt: 0 });
 * orders.isFree('m-1', 2_000); // false
 * orders.isFree('m-1', 2_500); // true
 * ```
 */
export class RecentMachineOrders {
  readonly #leaseMs: number;

  /** Steady time in ms until which a machine belongs to an earlier owner. */
  readonly #inheritedUntil = new Map<string, number>();

  /** Steady time in ms of the last order about a machine, of this owner or an earlier one. */
  readonly #orderedAt = new Map<string, number>();

  constructor({ leaseMs, inherited, startedAt }: RecentMachineOrdersOptions) {
    this.#leaseMs = leaseMs;
    inherited.forEach(({ machine, ageMs }) => {
      this.#inheritedUntil.set(machine, startedAt - ageMs + leaseMs);
      this.#orderedAt.set(machine, startedAt - ageMs);
    });
  }

  /** Checks whether this owner may give orders about a machine. */
  canOrder(machine: string, now: number): boolean {
    return now >= (this.#inheritedUntil.get(machine) ?? -Infinity);
  }

  /** Records that an order is about to be given, was sent, or was not answered. */
  report(machine: string, now: number): void {
    this.#orderedAt.set(machine, now);
  }

  /** Lists the orders that a successor has to know of. */
  list(now: number): RecentMachineOrder[] {
    const orders = [...this.#orderedAt].map(([machine, at]) => ({ machine, ageMs: now - at }));
    orders
      .filter(({ ageMs }) => ageMs >= this.#leaseMs)
      .forEach(({ machine }) => this.#orderedAt.delete(machine));
    return orders.filter(({ ageMs }) => ageMs < this.#leaseMs);
  }
}
