import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BurstForecast } from './BurstForecast.js';

const POOLS = ['a', 'b', 'c', 'd'];
const BURST_MS = 10_000;
const JOB_WORK = 1_000;
const PEAK_JOBS = 40;
const LEAD_MS = 4_000;

/** Feeds a forecast with bursts that rotate among pools, up to PEAK_JOBS jobs per 100 ms. */
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
  // Guards against late jobs at the start of each burst: if hosts are moved only after the increase
  // is detected, the move takes longer than the first jobs may wait.
  it('forecasts the pool with the oldest last burst, shortly before its burst', () => {
    assert.equal(buildForecast(36_000).findNext(36_000), undefined);
    const expected = buildForecast(39_500).findNext(39_500);
    assert.equal(expected?.pool, 'a');
    const peak = (PEAK_JOBS * JOB_WORK) / 100;
    assert.ok((expected?.rate ?? 0) > 0.3 * peak && (expected?.rate ?? 0) < 0.6 * peak);
  });

  it('forecasts the only pool that has had no burst yet', () => {
    assert.equal(buildForecast(29_500).findNext(29_500)?.pool, 'd');
  });

  it('makes no forecast while the next pool is unknown', () => {
    assert.equal(buildForecast(9_500).findNext(9_500), undefined);
    assert.equal(buildForecast(19_500).findNext(19_500), undefined);
  });

  // Guards against keeping hosts for a burst that does not start.
  it('expects an overdue burst for at most half an interval', () => {
    const forecast = buildForecast(40_000);
    assert.equal(forecast.findNext(43_500)?.pool, 'a');
    assert.equal(forecast.findNext(48_500), undefined);
  });

  it('makes no forecast for constant demand or irregular bursts', () => {
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
