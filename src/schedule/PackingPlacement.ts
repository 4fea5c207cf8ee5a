import { computeResourceRequest } from './computeResourceRequest.js';
import type { ManagedHost, ResourceRequest } from './ManagedHost.js';
import { PlacementPolicy, type Placement, type PlacementOptions } from './PlacementPolicy.js';
import type { WorkUnit } from './WorkUnit.js';

/** Counts the runs of a unit's step on a host, for the limit of tasks per host. */
function countRuns(host: ManagedHost, unit: WorkUnit): number {
  let count = 0;
  host.runs.forEach((run) => {
    if (run.unit.step === unit.step) count += 1;
  });
  return count;
}

/** Checks the placement constraints that do not depend on free resources. */
function isEligible(unit: WorkUnit, host: ManagedHost, options: PlacementOptions): boolean {
  const { spec } = unit;
  if (!host.isAvailable(options.now)) return false;
  if (spec.requiredLabel !== undefined && !host.entry.labels.includes(spec.requiredLabel)) {
    return false;
  }
  if (options.allowed !== undefined && !options.allowed.has(host.id)) return false;
  return spec.maxPerHost === undefined || countRuns(host, unit) < spec.maxPerHost;
}

/**
 * Packs tasks onto the most utilized host that fits them, so that idle hosts stay idle and can be
 * lent to other pools. Long-running tasks are spread, since tasks on one host interfere.
 *
 * Hosts in the rack of the step's input data are preferred, and machines on which the task has
 * failed are used last.
 */
export class PackingPlacement extends PlacementPolicy {
  override choose(
    unit: WorkUnit,
    hosts: readonly ManagedHost[],
    options: PlacementOptions,
  ): Placement[] | undefined {
    const request = computeResourceRequest(unit.spec);
    const eligible = hosts.filter((host) => isEligible(unit, host, options));
    if (unit.indexes.length === 1) {
      const host = PackingPlacement.#chooseOne(unit, eligible, request);
      return host === undefined ? undefined : [{ index: unit.indexes[0] ?? 0, host }];
    }
    return PackingPlacement.#chooseGang(unit, eligible, request);
  }

  static #chooseOne(
    unit: WorkUnit,
    hosts: readonly ManagedHost[],
    request: ResourceRequest,
  ): ManagedHost | undefined {
    let best: ManagedHost | undefined;
    let bestScore = -Infinity;
    hosts.forEach((host) => {
      if (!host.canFit(request)) return;
      const score = PackingPlacement.#score(unit, host);
      if (score > bestScore) {
        best = host;
        bestScore = score;
      }
    });
    return best;
  }

  static #score(unit: WorkUnit, host: ManagedHost): number {
    const { spec } = unit;
    const { used, capacity } = host;
    const utilization = Math.max(
      capacity.cpuMilli > 0 ? used.cpuMilli / capacity.cpuMilli : 0,
      capacity.memoryMb > 0 ? used.memoryMb / capacity.memoryMb : 0,
    );
    let score = utilization;
    if (spec.isLasting || spec.usesIdleCpu) {
      let lasting = 0;
      host.runs.forEach((run) => {
        if (run.unit.spec.isLasting || run.unit.spec.usesIdleCpu) lasting += 1;
      });
      score = -lasting - 0.1 * utilization;
    }
    if (spec.dataRack !== undefined && host.entry.rack === spec.dataRack) score += 100;
    if (unit.avoidedMachines.has(host.machine)) score -= 1_000;
    return score;
  }

  static #chooseGang(
    unit: WorkUnit,
    hosts: readonly ManagedHost[],
    request: ResourceRequest,
  ): Placement[] | undefined {
    if (unit.spec.prefersOneRack) {
      const racks = new Map<string, ManagedHost[]>();
      hosts.forEach((host) => {
        const rack = host.entry.rack ?? '';
        racks.set(rack, [...(racks.get(rack) ?? []), host]);
      });
      for (const rackHosts of racks.values()) {
        const placements = PackingPlacement.#assignAll(unit, rackHosts, request);
        if (placements !== undefined) return placements;
      }
    }
    return PackingPlacement.#assignAll(unit, hosts, request);
  }

  static #assignAll(
    unit: WorkUnit,
    hosts: readonly ManagedHost[],
    request: ResourceRequest,
  ): Placement[] | undefined {
    const placements: Placement[] = [];
    const limit = unit.spec.maxPerHost ?? Infinity;
    const sorted = [...hosts].sort(
      (one, other) => PackingPlacement.#score(unit, other) - PackingPlacement.#score(unit, one),
    );
    sorted.forEach((host) => {
      let tasksOnHost = 1;
      while (
        placements.length < unit.indexes.length &&
        countRuns(host, unit) + tasksOnHost <= limit &&
        host.canFit({
          cpuMilli: request.cpuMilli * tasksOnHost,
          memoryMb: request.memoryMb * tasksOnHost,
          accelerators: request.accelerators * tasksOnHost,
        })
      ) {
        placements.push({ index: unit.indexes[placements.length] ?? 0, host });
        tasksOnHost += 1;
      }
    });
    return placements.length === unit.indexes.length ? placements : undefined;
  }
}
