import {
  PoolSizing,
  type MovableHost,
  type PoolMove,
  type PoolView,
  type SizingPlan,
} from './PoolSizing.js';

/** An increase below this number of hosts is ignored until there is a backlog: it may be noise. */
const MIN_RISE_HOSTS = 0.5;

/** Options of an `IdleHostLending`. */
export interface IdleHostLendingOptions {
  /** Backlog of a pool in ms above which it borrows hosts; about the duration of a move. */
  borrowAboveMs: number;
  /** Idle time in ms after which a host is moved to the standby pool. */
  parkAfterMs: number;
  /** Minimum number of hosts that each pool keeps. */
  keepHosts: number;
}

/**
 * Moves idle hosts to pools that cannot finish their waiting work within the duration of a move,
 * and moves hosts that stay idle to the standby pool, where they incur no cost.
 *
 * This lets capacity follow bursts that rotate among the pools and exceed the capacity of a pool
 * several times for some seconds. Standby hosts are used first, then the hosts that have been idle
 * for the longest time in pools without waiting work that can still meet its deadline. If these do
 * not suffice, pools in which only late jobs wait release hosts: further waiting costs a late job
 * little, whereas a job that misses its deadline loses nearly all of its value.
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
        // Late jobs borrow no hosts while jobs that can still meet their deadlines need them.
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

  /** Checks whether a pool has, or is expected to get, work that can still meet its deadline. */
  static #hasTimelyWork({ timelyHosts, risingHosts, expectedHosts, size }: PoolView): boolean {
    return timelyHosts > 0 || risingHosts > 0 || expectedHosts > size;
  }

  #isOverloaded({ backlogMs, risingHosts, lastingHosts, expectedHosts, size }: PoolView): boolean {
    if (lastingHosts > 0 || expectedHosts > size) return true;
    return backlogMs > this.#options.borrowAboveMs || risingHosts > MIN_RISE_HOSTS;
  }

  /** Computes how many additional hosts the waiting and arriving work of a pool needs now. */
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
