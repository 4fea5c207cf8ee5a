import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BurstForecast } from './BurstForecast.js';

const POOLS = ['a', 'b', 'c', 'd'];
const BURST_MS = 10_000;
const JOB_WORK = 1_000;
const PEAK_JOBS = 40;
const LEAD_MS = 4_000;

/** A forecast of pools whose demand has risen by turns up to a time: PEAK_JOBS each 100 ms at most. */
function buildForecast(untilMs: number, pools = POOLS): BurstForecast {
  const forecast = new BurstForecast(LEAD_MS);
  for (let at = 0; at < untilMs; at += 100) {
    const current = Math.floor(at / BURST_MS) % pools.length;
    const swing = Math.sin((Math.PI * (at % BURST_MS)) / BURST_MS) ** 2;
    pools.forEach((pool, index) => {
      const jobs = index === current ? Math.round(PEAK_JOBS * swing) : Number(at % 1_000 === 0);
      forecast.report(pool, jobs * JOB_WORK, at);
    });
  }
  return forecast;
}

describe('BurstForecast', () => {
  // Guards against the first jobs of each turn that are late, since hosts are moved only when the
  // rise is seen: a move takes longer than these jobs may wait.
  it('expects the pool whose turn was longest ago, shortly before its turn', () => {
    assert.equal(buildForecast(36_000).findNext(36_000), undefined);
    const expected = buildForecast(39_500).findNext(39_500);
    assert.equal(expected?.pool, 'a');
    const peak = (PEAK_JOBS * JOB_WORK) / 100;
    assert.ok((expected?.rate ?? 0) > 0.3 * peak && (expected?.rate ?? 0) < 0.6 * peak);
  });

  it('expects the only pool that has had no turn yet', () => {
    assert.equal(buildForecast(29_500).findNext(29_500)?.pool, 'd');
  });

  it('expects nothing while it cannot know which pool is next', () => {
    assert.equal(buildForecast(9_500).findNext(9_500), undefined);
    assert.equal(buildForecast(19_500).findNext(19_500), undefined);
  });

  // Guards against hosts that are kept for a turn that does not come.
  it('expects a turn that has not begun for half a turn at most', () => {
    const forecast = buildForecast(40_000);
    assert.equal(forecast.findNext(43_500)?.pool, 'a');
    assert.equal(forecast.findNext(48_500), undefined);
  });

  it('expects nothing of demand that is even, or rises at irregular times', () => {
    const even = new BurstForecast(LEAD_MS);
    const irregular = new BurstForecast(LEAD_MS);
    const begins = [0, 5_000, 21_000, 29_000, 60_000];
    for (let at = 0; at < 80_000; at += 100) {
      POOLS.forEach((pool) => even.report(pool, JOB_WORK, at));
      begins.forEach((begin, index) => {
        const isOn = at >= begin && at < begin + 3_000;
        irregular.report(POOLS[index % 4] ?? '', isOn ? 50 * JOB_WORK : 0, at);
      });
    }
    for (let now = 30_000; now < 80_000; now += 500) {
      assert.equal(irregular.findNext(now), undefined);
      assert.equal(even.findNext(now), undefined);
    }
  });
});
