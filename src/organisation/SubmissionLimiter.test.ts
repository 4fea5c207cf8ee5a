import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import type { PoolLoadRecord } from '../workLog/mod.js';
import { OrganisationTable } from './OrganisationTable.js';
import { SubmissionLimiter } from './SubmissionLimiter.js';

const CALL = { organisation: 'acme', pool: 'studio' };

function openLimiter(clock: ManualClock, jobsPerS = 1): SubmissionLimiter {
  const limiter = new SubmissionLimiter(5_000);
  const cap = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
  limiter.setOrganisations(
    new OrganisationTable([{ name: 'acme', apiKeys: ['k-1'], jobsPerS, cap }]),
  );
  for (let job = 0; job < 5; job += 1) {
    const submittedAtMs = clock.readWall();
    limiter.recordJob({ id: `job-${job}`, organisation: 'acme', submittedAtMs });
  }
  return limiter;
}

function buildLoad(clock: ManualClock): PoolLoadRecord {
  return { token: 1, fullPools: ['studio'], atMs: clock.readWall(), validMs: 1_000 };
}

describe('SubmissionLimiter', () => {
  it('refuses what is beyond the rate only while the pool is known to have no capacity', () => {
    const clock = new ManualClock(70_000);
    const limiter = openLimiter(clock);
    assert.equal(limiter.computeRefusal(CALL, clock.read()), undefined);
    limiter.setPoolLoad(buildLoad(clock), clock.read());
    assert.equal(limiter.computeRefusal(CALL, clock.read()), 1_000);
    assert.equal(limiter.computeRefusal({ ...CALL, pool: 'other' }, clock.read()), undefined);
    assert.equal(
      limiter.computeRefusal({ ...CALL, organisation: undefined }, clock.read()),
      undefined,
    );
    clock.advance(999);
    assert.equal(limiter.computeRefusal(CALL, clock.read()), 1);
    clock.advance(1);
    assert.equal(limiter.computeRefusal(CALL, clock.read()), undefined);
  });

  // Guards against refusals while there is capacity, because the clock of the owner is ahead or its
  // last record was read late.
  it('ignores a record that is outdated by either clock', () => {
    const clock = new ManualClock(70_000);
    const limiter = openLimiter(clock, 0.1);
    limiter.setPoolLoad({ ...buildLoad(clock), atMs: 75_000 }, clock.read());
    clock.advance(1_001);
    assert.equal(limiter.computeRefusal(CALL, clock.read()), undefined);
    limiter.setPoolLoad({ ...buildLoad(clock), atMs: 70_000 }, clock.read());
    assert.equal(limiter.computeRefusal(CALL, clock.read()), undefined);
  });

  it('names the end of the record to an organisation that is entitled to no rate', () => {
    const clock = new ManualClock(70_000);
    const limiter = openLimiter(clock, 0);
    limiter.setPoolLoad(buildLoad(clock), clock.read());
    clock.advance(400);
    assert.equal(limiter.computeRefusal(CALL, clock.read()), 600);
  });

  it('forgets jobs that have been removed from the work log', () => {
    const clock = new ManualClock(70_000);
    const limiter = openLimiter(clock);
    limiter.setPoolLoad(buildLoad(clock), clock.read());
    limiter.removeJob('job-0');
    assert.equal(limiter.computeRefusal(CALL, clock.read()), undefined);
  });
});
