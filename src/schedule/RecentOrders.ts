/**
 * Orders are remembered this much longer than the pause between holders, in ms: the longest time in
 * which a call about a machine is answered.
 */
const ORDER_TIMEOUT_MS = 2_000;

/** Orders that earlier owners may have given, and the pause that has to follow them. */
export interface RecentOrdersOptions {
  /** Pause between orders of two holders about one machine, in ms. */
  leaseMs: number;
  /** Machines that earlier owners may have given orders about. */
  inherited: readonly string[];
  /** Steady time of the takeover in ms. */
  startedAt: number;
}

/**
 * The machines about which orders were given a short while ago, by this owner or by earlier ones.
 *
 * The owner records them before it sends an order, so that a successor has to leave alone only these
 * machines, and not all of them, until the pause between two holders has passed.
 *
 * @example
 * ```ts
 * const orders = new RecentOrders({ leaseMs: 3_000, inherited: ['m-1'], startedAt: 0 });
 * orders.isFree('m-1', 1_000); // false
 * orders.isFree('m-2', 1_000); // true
 * ```
 */
export class RecentOrders {
  readonly #options: RecentOrdersOptions;

  readonly #inherited: ReadonlySet<string>;

  /** Steady time of the last order of this owner, by machine. */
  readonly #own = new Map<string, number>();

  constructor(options: RecentOrdersOptions) {
    this.#options = options;
    this.#inherited = new Set(options.inherited);
  }

  /** Checks whether this owner may give orders about a machine. */
  isFree(machine: string, now: number): boolean {
    const { startedAt, leaseMs } = this.#options;
    return !this.#inherited.has(machine) || now >= startedAt + leaseMs;
  }

  /** Records that an order is about to be given, or has just been sent. */
  report(machine: string, now: number): void {
    this.#own.set(machine, now);
  }

  /** Lists the machines that a successor has to leave alone for a while. */
  list(now: number): string[] {
    const { startedAt, leaseMs } = this.#options;
    const since = now - leaseMs - ORDER_TIMEOUT_MS;
    this.#own.forEach((orderedAt, machine) => {
      if (orderedAt < since) this.#own.delete(machine);
    });
    const inherited = startedAt < since ? [] : this.#inherited;
    return [...new Set([...inherited, ...this.#own.keys()])];
  }
}
