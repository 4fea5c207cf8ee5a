import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { buildQueueConfig } from '../testing/ScheduleRig.js';
import type { WorkLogFollower, WorkLogFollowerMessage, JobLookup } from './WorkLogFollower.js';
import { JobService, type JobServiceOptions } from './JobService.js';
import type { NodeContext } from './NodeContext.js';

/** A book that reads on by the given time in ms whenever it is looked at. */
class LaggingWorkLog {
  readonly #clock: ManualClock;

  readonly #lookup: JobLookup;

  /** The job as the book knows it once it has read to the present. */
  caughtUp: Partial<JobLookup> = {};

  constructor(clock: ManualClock, follow: Partial<JobLookup['follow']>) {
    this.#clock = clock;
    const state = { end: 9, isCurrent: true, freshAt: 0, isInContact: true, contactSince: 0 };
    this.#lookup = { state: undefined, queue: undefined, follow: { ...state, ...follow } };
  }

  send({ type }: WorkLogFollowerMessage): void {
    if (type !== 'read-now') return;
    this.#clock.advance(50);
    this.#lookup.follow.freshAt = this.#clock.readMonotonic();
    Object.assign(this.#lookup, this.caughtUp);
  }

  ask(): Promise<JobLookup> {
    return Promise.resolve(this.#lookup);
  }
}

function openJobService(clock: ManualClock, workLog: LaggingWorkLog): JobService {
  const relay = { findState: () => Promise.resolve(undefined) };
  const options = { workLog: workLog as unknown as WorkLogFollower, relay };
  return new JobService(
    { clock } as unknown as NodeContext,
    options as unknown as JobServiceOptions,
  );
}

describe('JobService', () => {
  // Guards against a peer that denies a job which was accepted after its last read: the node that
  // asks cannot reach the store and passes the answer on.
  it('denies a job to a peer only when the book has read on since the question', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, { freshAt: clock.readMonotonic() - 500 });
    workLog.caughtUp = { state: 'running', queue: 'renders' };
    const found = await openJobService(clock, workLog).findState('a');
    assert.deepEqual(found, { state: 'running', queue: 'renders' });
  });

  it('tells a peer nothing about an unknown job while the book cannot read on', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, { freshAt: 900, isInContact: false });
    assert.equal(await openJobService(clock, workLog).findState('a'), undefined);
  });

  it('tells a caller that a job is unknown once the book has read on', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, {});
    const answer = await openJobService(clock, workLog).describe('a', buildQueueConfig());
    assert.deepEqual(answer, { type: 'no-job' });
  });

  it('refuses to say anything about an unknown job while no state is current', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, { isInContact: false });
    const answer = await openJobService(clock, workLog).describe('a', buildQueueConfig());
    assert.equal(answer.type, 'refused');
  });
});
