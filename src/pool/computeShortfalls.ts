import { hasResources, type Host, type Resources } from '../host/mod.js';
import type { Pool } from './Pool.js';

/** Hosts with equal resources; the rules cannot tell them apart. */
interface HostClass {
  resources: Resources;
  count: number;
}

function groupHosts(hosts: readonly Host[]): HostClass[] {
  const classes = new Map<string, HostClass>();
  hosts.forEach(({ resources }) => {
    const { cores, memoryGb, accelerators } = resources;
    const key = `${cores}/${memoryGb}/${accelerators}`;
    const known = classes.get(key);
    if (known) known.count += 1;
    else classes.set(key, { resources, count: 1 });
  });
  return [...classes.values()];
}

/** Hosts of each class given to each pool, filled by augmenting paths. */
class HostFlow {
  readonly #classes: readonly HostClass[];

  readonly #fits: boolean[][];

  /** Hosts given, by pool and class. */
  readonly #given: number[][];

  readonly #free: number[];

  constructor(classes: readonly HostClass[], pools: readonly Pool[]) {
    this.#classes = classes;
    this.#free = classes.map(({ count }) => count);
    this.#fits = pools.map(({ requires }) =>
      classes.map(({ resources }) => hasResources({ resources } as Host, requires)),
    );
    this.#given = pools.map(() => classes.map(() => 0));
  }

  /** Gives a pool up to `wanted` hosts, moving those of other pools where that helps. */
  assign(pool: number, wanted: number): number {
    let given = 0;
    while (given < wanted) {
      const moved = this.#give(pool, wanted - given, new Set());
      if (moved === 0) break;
      given += moved;
    }
    return given;
  }

  #give(pool: number, wanted: number, seen: Set<number>): number {
    for (let index = 0; index < this.#classes.length; index += 1) {
      if (this.#fits[pool]?.[index] && !seen.has(index)) {
        seen.add(index);
        const count = this.#take(index, wanted, seen);
        if (count > 0) {
          this.#change(pool, index, count);
          return count;
        }
      }
    }
    return 0;
  }

  /** Takes hosts of a class that are free, or that another pool can replace by others. */
  #take(index: number, wanted: number, seen: Set<number>): number {
    const free = Math.min(wanted, this.#free[index] ?? 0);
    if (free > 0) {
      this.#free[index] = (this.#free[index] ?? 0) - free;
      return free;
    }
    for (let holder = 0; holder < this.#given.length; holder += 1) {
      const held = this.#given[holder]?.[index] ?? 0;
      const count = held === 0 ? 0 : this.#give(holder, Math.min(wanted, held), seen);
      if (count > 0) {
        this.#change(holder, index, -count);
        return count;
      }
    }
    return 0;
  }

  #change(pool: number, index: number, by: number): void {
    const row = this.#given[pool];
    if (row) row[index] = (row[index] ?? 0) + by;
  }
}

/**
 * Computes how many hosts each pool lacks when the hosts are given out in the best way: the fewest
 * hosts are lacking in total, and pools that come first are filled first.
 *
 * @returns Pools that lack hosts with the number lacking.
 * @example
 * ```ts
 * computeShortfalls(hosts, [pool]).get('match'); // 2, or undefined when nothing is lacking
 * ```
 */
export function computeShortfalls(
  hosts: readonly Host[],
  pools: readonly Pool[],
): Map<string, number> {
  const flow = new HostFlow(groupHosts(hosts), pools);
  const shortfalls = new Map<string, number>();
  pools.forEach(({ name, need, headroom }, index) => {
    const lacking = need + headroom - flow.assign(index, need + headroom);
    if (lacking > 0) shortfalls.set(name, lacking);
  });
  return shortfalls;
}
