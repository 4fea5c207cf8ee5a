import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runLoad, type LoadOptions, type LoadResult } from '../testing/runLoad.js';
import { LeastWorkFirst } from './LeastWorkFirst.js';

/** A burst of 4.5 s that asks for about 1.7 times the processor time of its pool. */
const BURST: Omit<LoadOptions, 'seed'> = {
  hosts: 40,
  hostCpuMilli: 64_000,
  jobsPerS: 50,
  burstMs: 4_500,
  steps: 1.6,
  tasks: 8,
  cpuMilli: 9_000,
  runMs: 800,
  estimateError: 0.5,
};

type PolicyOptions = Pick<LoadOptions, 'buildPolicy'>;

const LEAST_WORK: PolicyOptions = { buildPolicy: (estimator) => new LeastWorkFirst(estimator) };
/** The policy that a shard has without the setting of another one. */
const DEFAULT: PolicyOptions = {};

function runSeeds(options: Partial<LoadOptions>): LoadResult[] {
  return [1, 2, 3].map((seed) => runLoad({ ...BURST, ...options, seed }));
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function checkLargeJobs(policy: PolicyOptions): void {
  [0.5, 0.9].forEach((estimateError) => {
    const results = runSeeds({ ...policy, estimateError });
    const inTime = computeMean(results.map((result) => result.inTime));
    const largest = computeMean(results.map((result) => result.largestTenth));
    assert.ok(largest >= inTime / 2, `largest tenth ${largest}, all ${inTime}`);
  });
}

function checkSufficientPool(policy: PolicyOptions): void {
  const results = runSeeds({ ...policy, jobsPerS: 20 });
  assert.ok(computeMean(results.map(({ inTime }) => inTime)) > 0.95);
}

describe('LeastWorkFirst under load', () => {
  // Guards against large jobs that get nothing while small ones keep arriving: the largest tenth has
  // to be served at least half as often as all jobs.
  it('serves large jobs at least half as often as all jobs during a burst', () =>
    checkLargeJobs(LEAST_WORK));

  it('serves nearly all jobs in time when the pool can carry the load', () =>
    checkSufficientPool(LEAST_WORK));
});

describe('default scheduling policy under load', () => {
  // Guards against the same fault in the policy of deployments that choose none.
  it('serves large jobs at least half as often as all jobs with the default policy', () =>
    checkLargeJobs(DEFAULT));

  it('serves nearly all jobs in time with the default policy', () => checkSufficientPool(DEFAULT));
});
