import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { buildTrackedJob, buildHostEntry, buildQueueConfig } from '../testing/ScheduleRig.js';
import { readSeed } from '../testing/readSeed.js';
import { ManagedHost } from './ManagedHost.js';
import { PackingPlacement } from './PackingPlacement.js';
import { PlacementPolicy, type Placement } from './PlacementPolicy.js';
import { PlacementRound } from './PlacementRound.js';
import { computeResourceRequest } from './computeResourceRequest.js';
import { Run } from './Run.js';
import { ScheduledJob } from './ScheduledJob.js';
import type { WorkUnit } from './WorkUnit.js';

const NOW_MS = 1_000;

const Steps = fc.array(
  fc.record({
    count: fc.integer({ min: 1, max: 3 }),
    cpuMilli: fc.integer({ min: 0, max: 16 }).map((cores) => cores * 1_000),
    memoryMb: fc.integer({ min: 0, max: 8 }).map((parts) => parts * 4_096),
    maxPerHost: fc.option(fc.integer({ min: 1, max: 2 }), { nil: undefined }),
    requiredLabel: fc.option(fc.constantFrom('r1', 'r2'), { nil: undefined }),
    gang: fc.boolean(),
  }),
  { minLength: 1, maxLength: 40 },
);

/** Counts the searches of the policy that it wraps. */
class CountingPlacement extends PlacementPolicy {
  searches = 0;

  readonly #policy = new PackingPlacement();

  override choose(...parameters: Parameters<PlacementPolicy['choose']>): Placement[] | undefined {
    this.searches += 1;
    return this.#policy.choose(...parameters);
  }
}

function createHosts(): ManagedHost[] {
  return ['r1', 'r1', 'r2'].map((rack, index) => {
    const host = new ManagedHost(buildHostEntry(`h${index}`, { rack, labels: [rack] }), 0);
    host.isFenced = true;
    return host;
  });
}

function listUnits(steps: Parameters<typeof buildTrackedJob>[1]): WorkUnit[] {
  const job = new ScheduledJob(buildTrackedJob('a', steps), buildQueueConfig());
  return job
    .openOccurrences(NOW_MS)
    .flatMap((one) => one.steps.flatMap(({ units }) => [...units.listWaiting()]));
}

/** Places units in order and lists the hosts of each. */
function chooseAll(
  units: readonly WorkUnit[],
  choose: (unit: WorkUnit) => Placement[] | undefined,
): string[] {
  return units.map((unit) => {
    const placements = choose(unit) ?? [];
    placements.forEach(({ index, host }) => {
      const run = new Run(unit, index, unit.step.formatTask(index), 1, host, NOW_MS);
      unit.runs.add(run);
      host.addRun(run, computeResourceRequest(unit.spec));
    });
    return placements.map(({ host }) => host.id).join(' ');
  });
}

describe('PlacementRound', () => {
  // Guards against skipping a task although it fits on a host.
  it('chooses the same hosts as the policy alone', () => {
    fc.assert(
      fc.property(Steps, (steps) => {
        const policy = new PackingPlacement();
        const alone = createHosts();
        const together = createHosts();
        const round = new PlacementRound(policy, together, NOW_MS);
        assert.deepEqual(
          chooseAll(listUnits(steps), (unit) => round.choose(unit, undefined)),
          chooseAll(listUnits(steps), (unit) => policy.choose(unit, alone, { now: NOW_MS })),
        );
      }),
      { seed: readSeed(), numRuns: 300 },
    );
  });

  // Guards against searching all hosts for each of hundreds of tasks that wait in a full pool.
  it('does not search for tasks that are at least as large as one that did not fit', () => {
    const policy = new CountingPlacement();
    const round = new PlacementRound(policy, createHosts(), NOW_MS);
    const units = listUnits([{ count: 200, cpuMilli: 8_000, estimateMs: 1_000 }]);
    chooseAll(units, (unit) => round.choose(unit, undefined));
    assert.equal(policy.searches, 7);
  });
});
