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
 * One round of placements on a fixed set of hosts. Free resources only decrease during a round, so
 * once a request did not fit, requests that are at least as large are rejected without a search. On
 * full pools this avoids nearly all searches.
 *
 * @example
 * ```ts
 * const round = new PlacementRound(policy, hosts, now);
 * round.choose(unit, undefined); // undefined if the unit does not fit
 * ```
 */
export class PlacementRound {
  readonly #policy: PlacementPolicy;

  readonly #now: number;

  /** Requests that did not fit on any host. */
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

  /** Chooses hosts for the tasks of a unit, limited to the allowed ones if advice is required. */
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

  /** Checks whether the hosts had a run of lower priority at the first call in this round. */
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
