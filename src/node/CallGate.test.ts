import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import type { Configuration, QueueConfig } from '../port/mod.js';
import { CallGate } from './CallGate.js';
import type { CallResponse } from './CallResponse.js';
import type { NodeContext } from './NodeContext.js';
import type { OperatorState } from './OperatorFollower.js';

const CONFIGURATION = { version: 1, organisations: undefined } as unknown as Configuration;
const REFUSED: CallResponse = { type: 'refused', reason: 'test', retryAfterMs: 100 };

describe('CallGate', () => {
  // Guards against a caller that is told that its job never runs while a repeated call for the same
  // job, which was admitted in the meantime, stores it.
  it('answers a refused call as unknown while a write for it is open, without organisations', async () => {
    const context = { settings: {}, clock: new ManualClock() } as unknown as NodeContext;
    const call = { queue: { isPublic: false } as QueueConfig, key: undefined, subject: 'a' };
    const gate = new CallGate(context);
    gate.setOperatorState({ configuration: CONFIGURATION } as OperatorState);
    const serve = (isOpen: boolean): Promise<CallResponse> =>
      gate.serve(
        call,
        () => Promise.resolve(REFUSED),
        () => Promise.resolve(isOpen),
      );
    assert.deepEqual(await serve(true), { type: 'unknown' });
    assert.deepEqual(await serve(false), REFUSED);
  });
});
