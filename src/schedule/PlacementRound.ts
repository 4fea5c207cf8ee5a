import { computeResourceRequest } from './computeResourceRequest.js';
import type { ManagedHost, ResourceRequest } from './ManagedHost.js';
import type { Placement, PlacementPolicy } from './PlacementPolicy.js';
import type { WorkUnit } from './WorkUnit.js';

function isAtLeast(request: ResourceRequest, other: ResourceRequest): boolean {
  return (
    request.cpuMilli >= other.cpuMilli &&
    request.memoryMb >= other.memoryMb &&
    request.accelerators >= other.accelerators
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
  readonly #unplaceable: ResourceRequest[] = [];

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
    const request = computeResourceRequest(unit.spec);
    if (this.#unplaceable.some((other) => isAtLeast(request, other))) return undefined;
    const placements = this.#policy.choose(unit, this.hosts, { now: this.#now, allowed });
    const { requiredLabel, maxPerHost, gang } = unit.spec;
    const isUnconstrained = requiredLabel === undefined && maxPerHost === undefined && !gang;
    if (placements === undefined && isUnconstrained && allowed === undefined)
      this.#unplaceable.push(request);
    return placements;
  }

  /** Checks whether a run of lower priority than a given one was on the hosts when first asked. */
  hasLowerPriorityRun(priority: number): boolean {
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
