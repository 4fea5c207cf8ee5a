import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import { DemandHysteresis } from './DemandHysteresis.js';

const STEP_MS = 5_000;
const NEED = 6;
const SLOTS = 8;

/** One pool of one service whose load two gateways report. */
class Watch {
  readonly changes: { extra: number; at: number }[] = [];

  readonly #hysteresis = new DemandHysteresis();

  #extra = 0;

  #now = 0;

  run({ hosts, ms }: { hosts: number; ms: number }): void {
    for (let end = this.#now + ms; this.#now < end;) {
      this.#now += STEP_MS;
      ['g1', 'g2'].forEach((reporter) => {
        const queuedJobs = (hosts * SLOTS) / 2;
        const loads = [{ service: 's', busySlots: 0, queuedJobs }];
        this.#hysteresis.report(reporter, { loads, now: this.#now });
      });
      this.apply();
    }
  }

  apply(): void {
    const slotsPerHost = new Map([['s', SLOTS]]);
    const known = { pool: 'p', need: NEED, headroom: 2, extra: this.#extra, slotsPerHost };
    this.#hysteresis.apply([known], this.#now).forEach(({ extra }) => {
      this.#extra = extra;
      this.changes.push({ extra, at: this.#now });
    });
  }

  wait(ms: number): void {
    this.#now += ms;
    this.apply();
  }
}

describe('DemandHysteresis', () => {
  // Guards against records and moves for floods that admission control has to handle.
  it('asks for nothing in floods of some seconds with lulls between them', () => {
    const flood = fc.record({
      up: fc.integer({ min: 1, max: 20 }),
      hosts: fc.integer({ min: 0, max: 200 }),
      down: fc.integer({ min: 1, max: 40 }),
    });
    fc.assert(
      fc.property(fc.array(flood, { minLength: 1, maxLength: 60 }), (floods) => {
        const watch = new Watch();
        floods.forEach(({ up, hosts, down }) => {
          watch.run({ hosts, ms: up * STEP_MS });
          watch.run({ hosts: 1, ms: down * STEP_MS });
        });
        assert.deepEqual(watch.changes, []);
      }),
      { seed: readSeed(), numRuns: 200 },
    );
  });

  // Guards against an overload that never gets hosts, and a demand that never ends.
  it('asks for hosts after two minutes of overload and for none after ten idle ones', () => {
    const watch = new Watch();
    watch.run({ hosts: 11, ms: 300_000 });
    assert.deepEqual(watch.changes, [{ extra: 3, at: 125_000 }]);
    // Floods go on after the overload and do not prolong the demand.
    for (let flood = 0; flood < 29; flood += 1) {
      watch.run({ hosts: 1, ms: 15_000 });
      watch.run({ hosts: 18, ms: 5_000 });
    }
    assert.equal(watch.changes.length, 1);
    watch.run({ hosts: 1, ms: 40_000 });
    assert.deepEqual(watch.changes.slice(1), [{ extra: 0, at: 905_000 }]);
  });

  // Guards against a demand that flutters with the load.
  it('follows a rising and falling load with few changes', () => {
    const wave = fc.array(fc.record({ hosts: fc.nat({ max: 16 }), steps: fc.nat({ max: 60 }) }), {
      minLength: 20,
      maxLength: 100,
    });
    fc.assert(
      fc.property(wave, (steps) => {
        const watch = new Watch();
        steps.forEach(({ hosts, steps: count }) => watch.run({ hosts, ms: count * STEP_MS }));
        const { changes } = watch;
        changes.forEach((change, index) => {
          const before = changes[index - 1];
          const isFall = before !== undefined && change.extra < before.extra;
          if (!isFall) return;
          const isAfterRise = before.extra > (changes[index - 2]?.extra ?? 0);
          const leastMs = isAfterRise ? 480_000 : 120_000;
          assert.ok(change.at - before.at >= leastMs, `${change.at - before.at} ms`);
        });
      }),
      { seed: readSeed(), numRuns: 200 },
    );
  });

  // Guards against a freeze or silent gateways that are taken for two minutes of overload.
  it('draws no conclusion from silence and gaps', () => {
    const watch = new Watch();
    watch.run({ hosts: 20, ms: 60_000 });
    watch.wait(300_000);
    watch.run({ hosts: 20, ms: 60_000 });
    assert.deepEqual(watch.changes, []);
  });
});
