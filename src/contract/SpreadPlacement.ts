import type { Host } from '../host/mod.js';
import { toRackKey } from '../rack/mod.js';
import { GroupHeap, type Group } from './_GroupHeap.js';
import { PlacementPolicy, type PlacementRequest } from './PlacementPolicy.js';

/** Bounds of the parts of a cost; counts above them sort alike. */
const MAX_DATA_CENTRE_COUNT = 1e5;
const MAX_RACK_COUNT = 1e4;

function groupCandidates(candidates: readonly Host[]): Group[] {
  const groups = new Map<string, Group>();
  candidates.forEach((host) => {
    const rackKey = toRackKey(host);
    const { accelerators } = host.resources;
    const key = `${rackKey}/${accelerators}`;
    const group = groups.get(key);
    if (group) group.hosts.push(host);
    else {
      const { dataCentre } = host;
      groups.set(key, { rackKey, dataCentre, accelerators, hosts: [host], cost: 0 });
    }
  });
  return [...groups.values()];
}

/**
 * Chooses the rack, and among equal racks the data centre, that holds the fewest hosts of the pool.
 * Hosts with accelerators that the pool does not need are the last choice.
 *
 * @example
 * ```ts
 * new SpreadPlacement().choose({ pool, count: 2, candidates, ledger }); // two hosts in two racks
 * ```
 */
export class SpreadPlacement extends PlacementPolicy {
  override choose({ pool, count, candidates, ledger }: PlacementRequest): Host[] {
    const racks = new Map<string, number>();
    const dataCentres = new Map<string, number>();
    const computeCost = (group: Group): number => {
      const near = ledger.countNear(group.hosts[0] as Host);
      const rack = near.rack + (racks.get(group.rackKey) ?? 0);
      const dataCentre = near.dataCentre + (dataCentres.get(group.dataCentre) ?? 0);
      const waste = group.accelerators - pool.requires.accelerators;
      return (waste * MAX_RACK_COUNT + rack) * MAX_DATA_CENTRE_COUNT + dataCentre;
    };
    const heap = new GroupHeap();
    groupCandidates(candidates).forEach((group) =>
      heap.add({ ...group, hosts: group.hosts.reverse(), cost: computeCost(group) }),
    );
    const chosen: Host[] = [];
    while (chosen.length < count) {
      const group = heap.take();
      if (group === undefined) break;
      // Costs only grow, so a group whose cost is still that of its place in the heap is cheapest.
      const cost = computeCost(group);
      if (cost === group.cost) {
        const host = group.hosts.pop();
        if (host !== undefined) chosen.push(host);
        racks.set(group.rackKey, (racks.get(group.rackKey) ?? 0) + 1);
        dataCentres.set(group.dataCentre, (dataCentres.get(group.dataCentre) ?? 0) + 1);
      }
      if (group.hosts.length > 0) heap.add({ ...group, cost: computeCost(group) });
    }
    return chosen;
  }
}
