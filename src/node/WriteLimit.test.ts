import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { WriteLimit } from './WriteLimit.js';

const LIMIT = new WriteLimit({ batchRecords: 200, batchBytes: 512 * 1_024 });
const CALLER_MS = 2_850;

/** Counts the records of a burst that are admitted while an append is in flight. */
function countAdmitted(latencyMs: number, remainingMs: number): number {
  let records = 0;
  while (
    LIMIT.canAdmit({ records, bytes: records * 600, inFlightMs: 0 }, { latencyMs, remainingMs })
  )
    records += 1;
  return records;
}

describe('WriteLimit', () => {
  // Guards against callers that are held until their deadline by a store that is 60 times slower
  // than usual: their records were queued although they could not be stored in time.
  it('admits as many records as the store takes before the deadline', () => {
    assert.equal(countAdmitted(240, CALLER_MS), 2_000);
    // The append in flight ends after 0.9 s; two more fit.
    assert.equal(countAdmitted(900, CALLER_MS), 400);
    assert.equal(countAdmitted(900, 1_700), 0);
  });

  it('counts an append in flight as long as it has waited', () => {
    const backlog = { records: 0, bytes: 0, inFlightMs: 2_000 };
    assert.equal(LIMIT.canAdmit(backlog, { latencyMs: 4, remainingMs: 1_900 }), false);
    assert.equal(LIMIT.canAdmit(backlog, { latencyMs: 4, remainingMs: 2_100 }), true);
  });

  // Guards against a node that refuses all callers with a short deadline after one slow append.
  it('admits a record that waits for no other, whatever the last append took', () => {
    const idle = { records: 0, bytes: 0, inFlightMs: undefined };
    assert.equal(LIMIT.canAdmit(idle, { latencyMs: 2_500, remainingMs: 1_000 }), true);
  });

  it('bounds the queue of a fast store by number and size, whatever the deadline', () => {
    const times = { latencyMs: 4, remainingMs: Infinity };
    const inFlightMs = 1;
    assert.equal(LIMIT.canAdmit({ records: 2_000, bytes: 0, inFlightMs }, times), false);
    assert.equal(LIMIT.canAdmit({ records: 40, bytes: 9_000_000, inFlightMs }, times), false);
    assert.equal(LIMIT.canAdmit({ records: 40, bytes: 1_000_000, inFlightMs }, times), true);
  });
});
