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
    const undersupplied = new Set<string>();
    const assigned = new Set<string>();
    const standby = pools.filter(({ isStandby }) => isStandby);
    const serving = pools.filter(({ isStandby }) => !isStandby);
    const overloaded = serving.filter((pool) => this.#isOverloaded(pool));
    const hasTimelyShortage = overloaded.some((pool) => IdleHostLending.#hasTimelyWork(pool));
    overloaded
      .sort((one, other) => other.backlogMs - one.backlogMs)
      .forEach((pool) => {
        // Late jobs borrow no hosts while jobs that can be in time need them.
        const mayBorrow = !hasTimelyShortage || IdleHostLending.#hasTimelyWork(pool);
        const neededNow = mayBorrow ? this.#computeNeededHosts(pool) : 0;
        const neededHosts = Math.max(neededNow, pool.expectedHosts - pool.size);
        const missingHosts = Math.ceil(neededHosts) - pool.incoming;
        const donors = this.#collectDonors(pool, standby, serving).filter(
          (machine) => !assigned.has(machine),
        );
        donors.slice(0, Math.max(0, missingHosts)).forEach((machine) => {
          assigned.add(machine);
          moves.push({ machine, to: pool.name });
        });
        if (donors.length < missingHosts && IdleHostLending.#hasTimelyWork(pool))
          undersupplied.add(pool.name);
      });
    const releasing = serving.filter(
      (pool) =>
        undersupplied.size > 0 &&
        !undersupplied.has(pool.name) &&
        !IdleHostLending.#hasTimelyWork(pool),
    );
    const [standbyPool] = standby;
    if (standbyPool !== undefined)
      moves.push(...this.#planParking(serving, standbyPool.name, assigned));
    return { moves, releasing: releasing.map(({ name }) => name) };
  }

  /** Checks whether a pool has, or is about to get, work that can be in time. */
  static #hasTimelyWork({ timelyHosts, risingHosts, expectedHosts, size }: PoolView): boolean {
    return timelyHosts > 0 || risingHosts > 0 || expectedHosts > size;
  }

  #isOverloaded({ backlogMs, risingHosts, lastingHosts, expectedHosts, size }: PoolView): boolean {
    if (lastingHosts > 0 || expectedHosts > size) return true;
    return backlogMs > this.#options.borrowAboveMs || risingHosts > MIN_RISE_HOSTS;
  }

  /** Computes how many hosts more the work of a pool needs that waits or arrives now. */
  #computeNeededHosts({ backlogMs, waitingHosts, risingHosts, lastingHosts }: PoolView): number {
    const waiting = backlogMs > this.#options.borrowAboveMs ? waitingHosts : 0;
    return Math.max(waiting, risingHosts, lastingHosts);
  }

  #collectDonors(
    pool: PoolView,
    standby: readonly PoolView[],
    serving: readonly PoolView[],
  ): string[] {
    const hasTimelyWork = IdleHostLending.#hasTimelyWork(pool);
    const lenders = serving.filter((one) => {
      if (one === pool || IdleHostLending.#hasTimelyWork(one)) return false;
      return hasTimelyWork || one.waitingHosts === 0;
    });
    const lendable = lenders.flatMap((lender) =>
      IdleHostLending.#sortIdle(lender).slice(
        0,
        Math.max(0, lender.size - this.#countReserved(lender)),
      ),
    );
    lendable.sort((one, other) => other.idleMs - one.idleMs);
    return [...standby.flatMap(({ idle }) => idle), ...lendable].map(({ machine }) => machine);
  }

  #countReserved({ expectedHosts }: PoolView): number {
    return Math.max(this.#options.keepHosts, Math.ceil(expectedHosts));
  }

  #planParking(
    serving: readonly PoolView[],
    standbyPool: string,
    assigned: ReadonlySet<string>,
  ): PoolMove[] {
    return serving.flatMap((pool) => {
      if (pool.waitingHosts > 0 || pool.risingHosts > 0) return [];
      const assignedCount = pool.idle.filter(({ machine }) => assigned.has(machine)).length;
      const surplus = pool.size - assignedCount - this.#countReserved(pool);
      return IdleHostLending.#sortIdle(pool)
        .filter(
          ({ machine, idleMs }) => idleMs >= this.#options.parkAfterMs && !assigned.has(machine),
        )
        .slice(0, Math.max(0, surplus))
        .map(({ machine }) => ({ machine, to: standbyPool }));
    });
  }

  static #sortIdle({ idle }: PoolView): MovableHost[] {
    return [...idle].sort((one, other) => other.idleMs - one.idleMs);
  }
}
