import {
  PoolSizing,
  type MovableHost,
  type PoolMove,
  type PoolView,
  type SizingPlan,
} from './PoolSizing.js';

/** A rise below this many hosts is left to the backlog rule, since arrivals vary by chance. */
const MIN_RISE_HOSTS = 0.5;

/** Options of the lending of idle hosts. */
export interface IdleHostLendingOptions {
  /** Backlog of a pool in ms above which it gets more hosts; about the time that a move takes. */
  borrowAboveMs: number;
  /** A host that has been idle for this time in ms goes to the standby pool. */
  parkAfterMs: number;
  /** Hosts that stay in each pool. */
  keepHosts: number;
}

/**
 * Moves idle hosts to the pool whose waiting work its own hosts cannot finish by the time that a
 * move takes, and parks hosts that stay idle in the standby pool, where they cost nothing.
 *
 * It answers queues that rise by turns to several times the capacity of their pool for some
 * seconds: the hosts follow the load. A standby host goes first, then hosts of pools without
 * waiting work that can be in time, the longest idle first. Where these are too few, pools in which
 * only late jobs wait release hosts: a job that is late already loses little by waiting on, while
 * one that can be in time loses nearly all.
 */
export class IdleHostLending extends PoolSizing {
  readonly #options: IdleHostLendingOptions;

  constructor(options: IdleHostLendingOptions) {
    super();
    this.#options = options;
  }

  override plan(pools: readonly PoolView[]): SizingPlan {
    const moves: PoolMove[] = [];
    const short = new Set<string>();
    const taken = new Set<string>();
    const standby = pools.filter(({ isStandby }) => isStandby);
    const serving = pools.filter(({ isStandby }) => !isStandby);
    const pressed = serving.filter((pool) => this.#isPressed(pool));
    const isTimelyPressed = pressed.some((pool) => IdleHostLending.#hasTimely(pool));
    pressed
      .sort((one, other) => other.backlogMs - one.backlogMs)
      .forEach((pool) => {
        // Late jobs borrow no hosts while jobs that can be in time need them.
        const mayBorrow = !isTimelyPressed || IdleHostLending.#hasTimely(pool);
        const present = mayBorrow ? this.#computeNeeded(pool) : 0;
        const wanted = Math.max(present, pool.expectedHosts - pool.size);
        const needed = Math.ceil(wanted) - pool.incoming;
        const donors = this.#collectDonors(pool, standby, serving).filter(
          (machine) => !taken.has(machine),
        );
        donors.slice(0, Math.max(0, needed)).forEach((machine) => {
          taken.add(machine);
          moves.push({ machine, to: pool.name });
        });
        if (donors.length < needed && IdleHostLending.#hasTimely(pool)) short.add(pool.name);
      });
    const releasing = serving.filter(
      (pool) => short.size > 0 && !short.has(pool.name) && !IdleHostLending.#hasTimely(pool),
    );
    const [park] = standby;
    if (park !== undefined) moves.push(...this.#planParking(serving, park.name, taken));
    return { moves, releasing: releasing.map(({ name }) => name) };
  }

  /** Checks whether a pool has, or is about to get, work that can be in time. */
  static #hasTimely({ timelyHosts, risingHosts, expectedHosts, size }: PoolView): boolean {
    return timelyHosts > 0 || risingHosts > 0 || expectedHosts > size;
  }

  #isPressed({ backlogMs, risingHosts, lastingHosts, expectedHosts, size }: PoolView): boolean {
    if (lastingHosts > 0 || expectedHosts > size) return true;
    return backlogMs > this.#options.borrowAboveMs || risingHosts > MIN_RISE_HOSTS;
  }

  /** Computes how many hosts more the work of a pool needs that waits or arrives now. */
  #computeNeeded({ backlogMs, waitingHosts, risingHosts, lastingHosts }: PoolView): number {
    const waiting = backlogMs > this.#options.borrowAboveMs ? waitingHosts : 0;
    return Math.max(waiting, risingHosts, lastingHosts);
  }

  #collectDonors(
    pool: PoolView,
    standby: readonly PoolView[],
    serving: readonly PoolView[],
  ): string[] {
    const isTimely = IdleHostLending.#hasTimely(pool);
    const lenders = serving.filter((one) => {
      if (one === pool || IdleHostLending.#hasTimely(one)) return false;
      return isTimely || one.waitingHosts === 0;
    });
    const lent = lenders.flatMap((lender) =>
      IdleHostLending.#sortIdle(lender).slice(
        0,
        Math.max(0, lender.size - this.#countKept(lender)),
      ),
    );
    lent.sort((one, other) => other.idleMs - one.idleMs);
    return [...standby.flatMap(({ idle }) => idle), ...lent].map(({ machine }) => machine);
  }

  #countKept({ expectedHosts }: PoolView): number {
    return Math.max(this.#options.keepHosts, Math.ceil(expectedHosts));
  }

  #planParking(serving: readonly PoolView[], park: string, taken: ReadonlySet<string>): PoolMove[] {
    return serving.flatMap((pool) => {
      if (pool.waitingHosts > 0 || pool.risingHosts > 0) return [];
      const lent = pool.idle.filter(({ machine }) => taken.has(machine)).length;
      const spare = pool.size - lent - this.#countKept(pool);
      return IdleHostLending.#sortIdle(pool)
        .filter(({ machine, idleMs }) => idleMs >= this.#options.parkAfterMs && !taken.has(machine))
        .slice(0, Math.max(0, spare))
        .map(({ machine }) => ({ machine, to: park }));
    });
  }

  static #sortIdle({ idle }: PoolView): MovableHost[] {
    return [...idle].sort((one, other) => other.idleMs - one.idleMs);
  }
}
