import { hasResources, type Host, type Resources } from '../host/mod.js';
import type { Pool } from './Pool.js';

/** Hosts with equal resources, which are interchangeable under the rules. */
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

/**
 * An assignment of hosts to pools by host class, extended along augmenting paths (maximum flow).
 */
class HostAssignment {
  readonly #classes: readonly HostClass[];

  readonly #fits: boolean[][];

  /** Number of hosts assigned, by pool and class. */
  readonly #assigned: number[][];

  readonly #free: number[];

  constructor(classes: readonly HostClass[], pools: readonly Pool[]) {
    this.#classes = classes;
    this.#free = classes.map(({ count }) => count);
    this.#fits = pools.map(({ requires }) =>
      classes.map(({ resources }) => hasResources({ resources } as Host, requires)),
    );
    this.#assigned = pools.map(() => classes.map(() => 0));
  }

  /**
   * Assigns up to `requested` hosts to a pool and reassigns hosts of other pools where necessary.
   */
  assign(pool: number, requested: number): number {
    let assigned = 0;
    while (assigned < requested) {
      const added = this.#assignOnce(pool, requested - assigned, new Set());
      if (added === 0) break;
      assigned += added;
    }
    return assigned;
  }

  /** Assigns hosts of one class along a single augmenting path; 0 if there is none. */
  #assignOnce(pool: number, requested: number, visited: Set<number>): number {
    for (let index = 0; index < this.#classes.length; index += 1) {
      if (this.#fits[pool]?.[index] && !visited.has(index)) {
        visited.add(index);
        const count = this.#reserve(index, requested, visited);
        if (count > 0) {
          this.#change(pool, index, count);
          return count;
        }
      }
    }
    return 0;
  }

  /** Reserves hosts of a class that are free or that another pool can replace with other hosts. */
  #reserve(index: number, requested: number, visited: Set<number>): number {
    const free = Math.min(requested, this.#free[index] ?? 0);
    if (free > 0) {
      this.#free[index] = (this.#free[index] ?? 0) - free;
      return free;
    }
    for (let other = 0; other < this.#assigned.length; other += 1) {
      const assigned = this.#assigned[other]?.[index] ?? 0;
      const count =
        assigned === 0 ? 0 : this.#assignOnce(other, Math.min(requested, assigned), visited);
      if (count > 0) {
        this.#change(other, index, -count);
        return count;
      }
    }
    return 0;
  }

  #change(pool: number, index: number, by: number): void {
    const row = this.#assigned[pool];
    if (row) row[index] = (row[index] ?? 0) + by;
  }
}

/**
 * Computes how many hosts each pool lacks under an optimal assignment, which minimizes the total
 * number of lacking hosts and fills earlier pools first.
 *
 * @returns The number of lacking hosts by pool, without pools that lack none.
 * @example
 * ```ts
 * computeShortfalls(hosts, [pool]).get('match'); // 2, or undefined when nothing is lacking
 * ```
 */
export function computeShortfalls(
  hosts: readonly Host[],
  pools: readonly Pool[],
): Map<string, number> {
  const assignment = new HostAssignment(groupHosts(hosts), pools);
  const shortfalls = new Map<string, number>();
  pools.forEach(({ name, need, headroom }, index) => {
    const lacking = need + headroom - assignment.assign(index, need + headroom);
    if (lacking > 0) shortfalls.set(name, lacking);
  });
  return shortfalls;
}
