import { computeRoom } from './computeRoom.js';
import type { ManagedHost, Room } from './ManagedHost.js';
import type { Placement, PlacementPolicy } from './PlacementPolicy.js';
import type { WorkUnit } from './WorkUnit.js';

function isAtLeast(room: Room, other: Room): boolean {
  return (
    room.cpuMilli >= other.cpuMilli &&
    room.memoryMb >= other.memoryMb &&
    room.accelerators >= other.accelerators
  );
}

/**
 * One round of placements on the same hosts. Hosts only fill up in a round, so what found no room
 * tells that nothing larger will; on full pools this spares nearly all searches.
 *
 * @example
 * ```ts
 * const round = new PlacementRound(policy, hosts, now);
 * round.choose(unit, undefined); // undefined when there is no room
 * ```
 */
export class PlacementRound {
  readonly #policy: PlacementPolicy;

  readonly #now: number;

  /** Rooms that no host had free. */
  readonly #full: Room[] = [];

  #lowestPriority: number | undefined;

  constructor(
    policy: PlacementPolicy,
    readonly hosts: readonly ManagedHost[],
    now: number,
  ) {
    this.#policy = policy;
    this.#now = now;
  }

  /** Chooses hosts for the tasks of a unit, among the allowed ones where advice is needed. */
  choose(unit: WorkUnit, allowed: ReadonlySet<string> | undefined): Placement[] | undefined {
    const room = computeRoom(unit.spec);
    if (this.#full.some((other) => isAtLeast(room, other))) return undefined;
    const placements = this.#policy.choose(unit, this.hosts, { now: this.#now, allowed });
    const { requiredLabel, maxPerHost, gang } = unit.spec;
    const isUnbound = requiredLabel === undefined && maxPerHost === undefined && !gang;
    if (placements === undefined && isUnbound && allowed === undefined) this.#full.push(room);
    return placements;
  }

  /** Checks whether a run of lower priority than a given one was on the hosts when first asked. */
  hasLower(priority: number): boolean {
    this.#lowestPriority ??= this.hosts.reduce((lowest, { runs }) => {
      let found = lowest;
      runs.forEach(({ unit }) => {
        found = Math.max(found, unit.step.occurrence.job.queue.priority);
      });
      return found;
    }, 0);
    return this.#lowestPriority > priority;
  }
}
