import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { buildQueueConfig } from '../testing/ScheduleRig.js';
import type { BookKeeper, BookKeeperMessage, JobAnswer } from './WorkLogFollower.js';
import { CallerDesk, type CallerDeskParts } from './JobService.js';
import type { NodeParts } from './NodeContext.js';

/** A book that reads on by the given time in ms whenever it is looked at. */
class LaggingBook {
  readonly #clock: ManualClock;

  readonly #answer: JobAnswer;

  /** The job as the book knows it once it has read to the present. */
  found: Partial<JobAnswer> = {};

  constructor(clock: ManualClock, follow: Partial<JobAnswer['follow']>) {
    this.#clock = clock;
    const state = { end: 9, isCurrent: true, freshAt: 0, isInContact: true, contactSince: 0 };
    this.#answer = { state: undefined, queue: undefined, follow: { ...state, ...follow } };
  }

  send({ type }: BookKeeperMessage): void {
    if (type !== 'read-now') return;
    this.#clock.advance(50);
    this.#answer.follow.freshAt = this.#clock.readMonotonic();
    Object.assign(this.#answer, this.found);
  }

  ask(): Promise<JobAnswer> {
    return Promise.resolve(this.#answer);
  }
}

function openDesk(clock: ManualClock, book: LaggingBook): CallerDesk {
  const relay = { findState: () => Promise.resolve(undefined) };
  const parts = { keeper: book as unknown as BookKeeper, relay };
  return new CallerDesk({ clock } as unknown as NodeParts, parts as unknown as CallerDeskParts);
}

describe('CallerDesk', () => {
  // Guards against a peer that denies a job which was accepted after its last read: the node that
  // asks cannot reach the store and passes the answer on.
  it('denies a job to a peer only when the book has read on since the question', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const book = new LaggingBook(clock, { freshAt: clock.readMonotonic() - 500 });
    book.found = { state: 'running', queue: 'renders' };
    const found = await openDesk(clock, book).findState('a');
    assert.deepEqual(found, { state: 'running', queue: 'renders' });
  });

  it('tells a peer nothing about an unknown job while the book cannot read on', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const book = new LaggingBook(clock, { freshAt: 900, isInContact: false });
    assert.equal(await openDesk(clock, book).findState('a'), undefined);
  });

  it('tells a caller that a job is unknown once the book has read on', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const book = new LaggingBook(clock, {});
    const answer = await openDesk(clock, book).describe('a', buildQueueConfig());
    assert.deepEqual(answer, { type: 'no-job' });
  });

  it('refuses to say anything about an unknown job while no state is current', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const book = new LaggingBook(clock, { isInContact: false });
    const answer = await openDesk(clock, book).describe('a', buildQueueConfig());
    assert.equal(answer.type, 'refused');
  });
});
