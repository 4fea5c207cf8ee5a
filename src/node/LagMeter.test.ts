import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LagMeter } from './LagMeter.js';

function recordTicks(meter: LagMeter, from: number, intervals: readonly number[]): number {
  return intervals.reduce((at, interval) => {
    meter.recordTick(at + interval);
    return at + interval;
  }, from);
}

describe('LagMeter', () => {
  it('reports an overload when ticks are late for some time', () => {
    const meter = new LagMeter(50);
    const at = recordTicks(
      meter,
      0,
      Array.from({ length: 60 }, () => 50),
    );
    assert.ok(!meter.isOverloaded);
    recordTicks(
      meter,
      at,
      Array.from({ length: 60 }, () => 300),
    );
    assert.ok(meter.isOverloaded);
  });

  // Guards against a hand-over after a single freeze or collection of garbage.
  it('reports no overload after a single pause', () => {
    const meter = new LagMeter(50);
    const at = recordTicks(
      meter,
      0,
      Array.from({ length: 60 }, () => 52),
    );
    recordTicks(meter, at, [5_000, 50, 50]);
    assert.ok(!meter.isOverloaded);
  });
});
