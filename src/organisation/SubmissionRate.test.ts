import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/readSeed.js';
import { SubmissionRate } from './SubmissionRate.js';

const WINDOW_MS = 5_000;

describe('SubmissionRate', () => {
  it('never rejects an organisation that keeps to its rate over every window', () => {
    // Guards against refusing callers who use their whole rate at once at the start of a window.
    const rate = new SubmissionRate(WINDOW_MS);
    rate.setRate('acme', 2);
    for (let round = 0; round < 4; round += 1) {
      for (let job = 0; job < 10; job += 1) {
        assert.ok(rate.record('acme', `${round}-${job}`, round * WINDOW_MS));
      }
    }
  });

  it('states the time after which the organisation is within its rate again', () => {
    const rate = new SubmissionRate(WINDOW_MS);
    rate.setRate('acme', 2);
    for (let job = 0; job < 10; job += 1) rate.record('acme', `job-${job}`, 1_000);
    assert.equal(rate.record('acme', 'z-beyond', 1_000), false);
    assert.equal(rate.countBeyond('acme'), 1);
    const delayMs = rate.computeDelay('acme', 1_200);
    assert.equal(delayMs, 300);
    assert.equal(rate.record('acme', 'early', 1_200 + delayMs - 1), false);
    assert.equal(rate.record('acme', 'in time', 1_200 + delayMs), true);
  });

  it('lets an organisation with less than one job a window submit single jobs', () => {
    const rate = new SubmissionRate(WINDOW_MS);
    rate.setRate('small', 0.1);
    assert.ok(rate.record('small', 'first', 0));
    assert.equal(rate.computeDelay('small', 0), 10_000);
    assert.ok(rate.record('small', 'second', 10_000));
  });

  it('counts no job as within a rate of 0, and all jobs without a known rate', () => {
    const rate = new SubmissionRate(WINDOW_MS);
    rate.setRate('none', 0);
    assert.equal(rate.record('none', 'one', 0), false);
    assert.equal(rate.computeDelay('none', 0), Infinity);
    assert.ok(rate.record('unknown', 'two', 0));
    assert.equal(rate.computeDelay('unknown', 0), 0);
  });

  it('gives all readers of a work log the same verdicts', () => {
    // Guards against verdicts of a new owner that differ since it began with the newest records,
    // which are sorted by key, or since it read a record twice or removed jobs later.
    const submissions = fc.uniqueArray(
      fc.record({
        id: fc.string({ minLength: 3, maxLength: 3 }),
        organisation: fc.constantFrom('acme', 'umbra'),
        atMs: fc.integer({ min: 0, max: 20_000 }),
        isRemoved: fc.boolean(),
      }),
      { selector: ({ id }) => id, maxLength: 60 },
    );
    fc.assert(
      fc.property(submissions, fc.array(fc.nat(59)), (jobs, shuffle) => {
        const one = new SubmissionRate(WINDOW_MS);
        one.setRate('acme', 0.7);
        jobs.forEach(({ organisation, id, atMs }) => one.record(organisation, id, atMs));
        one.setRate('umbra', 1.3);
        jobs.filter(({ isRemoved }) => isRemoved).forEach(({ id }) => one.remove(id));

        const other = new SubmissionRate(WINDOW_MS);
        other.setRate('acme', 0.7);
        other.setRate('umbra', 1.3);
        const left = jobs.filter(({ isRemoved }) => !isRemoved);
        const order = [...shuffle.flatMap((index) => left[index] ?? []), ...left];
        order.forEach(({ organisation, id, atMs }) => other.record(organisation, id, atMs));

        left.forEach(({ id }) => assert.equal(one.isWithin(id), other.isWithin(id)));
        ['acme', 'umbra'].forEach((name) => {
          assert.equal(one.computeDelay(name, 10_000), other.computeDelay(name, 10_000));
        });
      }),
      { seed: readSeed(), numRuns: 500 },
    );
  });
});
