import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ActorScope } from '../actor/mod.js';
import { ManualClock } from '../clock/mod.js';
import { EmulatedDecoder } from '../emulator/EmulatedDecoder.js';
import { EmulatedStore } from '../emulator/EmulatedStore.js';
import { waitFor } from '../testing/mod.js';
import type { NodeContext } from './NodeContext.js';
import { OperatorFollower, type OperatorState } from './OperatorFollower.js';

function writeWave(store: EmulatedStore, wave: number): void {
  const order = { wave, machines: ['m-1'], durationMs: 1_000, cap: 1 };
  store.write('operator', `wave/${wave}`, JSON.stringify({ type: 'wave', order }));
}

describe('OperatorFollower', () => {
  // Guards against a withdrawn wave that stays in use: its removal expired in the log before this
  // node, which was partitioned, had read it.
  it('forgets waves that are missing from a snapshot', async () => {
    const clock = new ManualClock();
    const store = new EmulatedStore(clock);
    writeWave(store, 1);
    writeWave(store, 2);
    let state: OperatorState | undefined;
    const context = {
      scope: new ActorScope('operator', (_, error) => assert.fail(error)),
      clock,
      store: store.connect('node'),
      decoder: new EmulatedDecoder(),
      log: { record: () => undefined },
    };
    const follower = new OperatorFollower(context as unknown as NodeContext, (changed) => {
      state = changed;
    });
    await waitFor('both waves', () => state?.waves.size === 2);
    store.setMode('refusing', 'node');
    store.write('operator', 'wave/1', undefined);
    writeWave(store, 3);
    store.expire('operator');
    store.setMode('normal', 'node');
    await waitFor('the last wave', () => state?.waves.has(3));
    assert.deepEqual([...(state?.waves.keys() ?? [])].sort(), [2, 3]);
    follower.close();
  });
});
