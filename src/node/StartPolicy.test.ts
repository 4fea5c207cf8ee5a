import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as settle } from 'node:timers/promises';
import { ManualClock } from '../clock/mod.js';
import { StartPolicy } from './StartPolicy.js';

/** Guards against task starts that are neither recorded nor known to the next owner. */
describe('StartPolicy', () => {
  function open(isUnreachable: () => boolean): {
    policy: StartPolicy;
    clock: ManualClock;
    unreachableTimes: number[];
  } {
    const clock = new ManualClock();
    const unreachableTimes: number[] = [];
    const policy = new StartPolicy({
      readClock: () => clock.readMonotonic(),
      isStoreUnreachable: () => Promise.resolve(isUnreachable()),
      onStoreUnreachable: () => unreachableTimes.push(clock.readMonotonic()),
    });
    return { policy, clock, unreachableTimes };
  }

  it('records starts while the owner is in contact with the store', () => {
    const { policy } = open(() => true);
    assert.deepEqual(policy.choosePermit(600), { isRecorded: true, rule: 'all' });
  });

  it('starts only jobs of its own data centre while another node may claim the shard', async () => {
    const { policy, unreachableTimes } = open(() => false);
    policy.choosePermit(1_100);
    await settle();
    assert.deepEqual(policy.choosePermit(1_100), { isRecorded: false, rule: 'own-data-centre' });
    assert.deepEqual(unreachableTimes, []);
  });

  it('starts all jobs only while it is confirmed that no node reaches the store', async () => {
    let isUnreachable = true;
    const { policy, clock, unreachableTimes } = open(() => isUnreachable);
    assert.equal(policy.choosePermit(1_100).rule, 'own-data-centre');
    await settle();
    assert.equal(policy.choosePermit(1_100).rule, 'all');
    assert.equal(unreachableTimes.length, 1);
    isUnreachable = false;
    clock.advance(500);
    assert.equal(policy.choosePermit(1_600).rule, 'all');
    await settle();
    clock.advance(101);
    assert.equal(policy.choosePermit(1_701).rule, 'own-data-centre');
  });
});
