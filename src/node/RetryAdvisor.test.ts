import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { RetryAdvisor } from './RetryAdvisor.js';

const RETRIES = 4;
const RESOLUTION = 1_000_000;
const ARRIVALS_PER_S = 20;

/** Plays an outage; returns when each caller was served, and undefined for those that gave up. */
function runOutage(
  outageMs: number,
  computeRetryAfter: (advisor: RetryAdvisor, now: number) => number,
): (number | undefined)[] {
  const uniform = fc.integer({ min: 0, max: RESOLUTION - 1 }).map((value) => value / RESOLUTION);
  const values = fc.sample(fc.noBias(uniform), { seed: 42, numRuns: 5_000 });
  const advisor = new RetryAdvisor(() => values.pop() ?? 0.5);
  const count = (ARRIVALS_PER_S * outageMs) / 1_000;
  const calls = Array.from({ length: count }, (_, index) => ({
    at: (index * 1_000) / ARRIVALS_PER_S,
    tries: 0,
  }));
  const served: (number | undefined)[] = [];
  while (calls.length > 0) {
    calls.sort((one, other) => one.at - other.at);
    const call = calls.shift();
    if (call === undefined) break;
    if (call.at >= outageMs) served.push(call.at);
    else if (call.tries === RETRIES) served.push(undefined);
    else {
      advisor.recordRefusal(call.at);
      // The platform's protocol has whole seconds.
      const waitMs = Math.ceil(computeRetryAfter(advisor, call.at) / 1_000) * 1_000;
      calls.push({ at: call.at + waitMs, tries: call.tries + 1 });
    }
  }
  return served;
}

describe('RetryAdvisor', () => {
  // Guards against callers that use up their retries before an outage of some seconds ends.
  it('lets nearly all callers survive an outage of 7 s with four retries', () => {
    const fixed = runOutage(7_000, () => 1_000);
    const advised = runOutage(7_000, (advisor, now) => advisor.computeRetryAfter(now));
    const count = (served: (number | undefined)[]): number =>
      served.filter((at) => at !== undefined).length;
    assert.ok(count(fixed) < 0.7 * fixed.length);
    assert.ok(count(advised) > 0.95 * advised.length, `${count(advised)} of ${advised.length}`);
  });

  // Guards against a wave of returns that overloads the store when it has just come back.
  it('spreads the returns over more than a second', () => {
    const advised = runOutage(7_000, (advisor, now) => advisor.computeRetryAfter(now));
    const bins = new Map<number, number>();
    advised.forEach((at) => {
      const bin = Math.floor((at ?? 0) / 500);
      bins.set(bin, (bins.get(bin) ?? 0) + 1);
    });
    assert.ok(Math.max(...bins.values()) < advised.length / 3);
  });

  it('starts over when the store has accepted a record', () => {
    const advisor = new RetryAdvisor(() => 0);
    advisor.recordRefusal(0);
    assert.equal(advisor.computeRetryAfter(3_000), 3_000);
    assert.equal(advisor.computeRetryAfter(60_000), 4_000);
    advisor.recordStored();
    assert.equal(advisor.computeRetryAfter(60_000), 1_000);
  });
});
