import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import { DemandEstimator } from './DemandEstimator.js';

const STEP_MS = 5_000;
const NEED = 6;
const SLOTS = 8;

/** Feeds an estimator with the load of one pool with one service, reported by two gateways. */
class Harness {
  readonly changes: { extra: number; at: number }[] = [];

  readonly #estimator = new DemandEstimator();

  #extra = 0;

  #now = 0;

  run({ hosts, ms }: { hosts: number; ms: number }): void {
    for (let end = this.#now + ms; this.#now < end;) {
      this.#now += STEP_MS;
      ['g1', 'g2'].forEach((reporter) => {
        const queuedJobs = (hosts * SLOTS) / 2;
        const loads = [{ service: 's', busySlots: 0, queuedJobs }];
        this.#estimator.report(reporter, { loads, now: this.#now });
      });
      this.apply();
    }
  }

  apply(): void {
    const slotsPerHost = new Map([['s', SLOTS]]);
    const known = { pool: 'p', need: NEED, headroom: 2, extra: this.#extra, slotsPerHost };
    this.#estimator.apply([known], this.#now).forEach(({ extra }) => {
      this.#extra = extra;
      this.changes.push({ extra, at: this.#now });
    });
  }

  wait(ms: number): void {
    this.#now += ms;
    this.apply();
  }
}

describe('DemandEstimator', () => {
  // Guards against records and host moves for floods that admission control must absorb.
  it('requests no hosts during floods of a few seconds with pauses in between', () => {
    const flood = fc.record({
      up: fc.integer({ min: 1, max: 20 }),
      hosts: fc.integer({ min: 0, max: 200 }),
      down: fc.integer({ min: 1, max: 40 }),
    });
    fc.assert(
      fc.property(fc.array(flood, { minLength: 1, maxLength: 60 }), (floods) => {
        const harness = new Harness();
        floods.forEach(({ up, hosts, down }) => {
          harness.run({ hosts, ms: up * STEP_MS });
          harness.run({ hosts: 1, ms: down * STEP_MS });
        });
        assert.deepEqual(harness.changes, []);
      }),
      { seed: readSeed(), numRuns: 200 },
    );
  });

  // Guards against an overload that never receives hosts, and a demand that never ends.
  it('requests hosts after two minutes of overload and none after ten minutes without it', () => {
    const harness = new Harness();
    harness.run({ hosts: 11, ms: 300_000 });
    assert.deepEqual(harness.changes, [{ extra: 3, at: 125_000 }]);
    // Bursts that continue after the overload do not prolong the demand.
    for (let flood = 0; flood < 29; flood += 1) {
      harness.run({ hosts: 1, ms: 15_000 });
      harness.run({ hosts: 18, ms: 5_000 });
    }
    assert.equal(harness.changes.length, 1);
    harness.run({ hosts: 1, ms: 40_000 });
    assert.deepEqual(harness.changes.slice(1), [{ extra: 0, at: 905_000 }]);
  });

  // Guards against a demand that changes with every fluctuation of the load.
  it('follows a rising and falling load with few changes', () => {
    const wave = fc.array(fc.record({ hosts: fc.nat({ max: 16 }), steps: fc.nat({ max: 60 }) }), {
      minLength: 20,
      maxLength: 100,
    });
    fc.assert(
      fc.property(wave, (steps) => {
        const harness = new Harness();
        steps.forEach(({ hosts, steps: count }) => harness.run({ hosts, ms: count * STEP_MS }));
        const { changes } = harness;
        changes.forEach((change, index) => {
          const before = changes[index - 1];
          const isFall = before !== undefined && change.extra < before.extra;
          if (!isFall) return;
          const isAfterRise = before.extra > (changes[index - 2]?.extra ?? 0);
          const minimumMs = isAfterRise ? 480_000 : 120_000;
          assert.ok(change.at - before.at >= minimumMs, `${change.at - before.at} ms`);
        });
      }),
      { seed: readSeed(), numRuns: 200 },
    );
  });

  // Guards against treating a process freeze or missing reports as two minutes of overload.
  it('does not change the demand because of missing reports or gaps', () => {
    const harness = new Harness();
    harness.run({ hosts: 20, ms: 60_000 });
    harness.wait(300_000);
    harness.run({ hosts: 20, ms: 60_000 });
    assert.deepEqual(harness.changes, []);
  });
});
