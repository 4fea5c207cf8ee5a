import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate as settle } from 'node:timers/promises';
import { ManualClock } from '../clock/mod.js';
import { StartGate } from './StartPolicy.js';

/** Guards against starts of which neither the log nor a successor knows. */
describe('StartGate', () => {
  function open(isAway: () => boolean): { gate: StartGate; clock: ManualClock; away: number[] } {
    const clock = new ManualClock();
    const away: number[] = [];
    const gate = new StartGate({
      readClock: () => clock.readMonotonic(),
      isStoreAway: () => Promise.resolve(isAway()),
      onAway: () => away.push(clock.readMonotonic()),
    });
    return { gate, clock, away };
  }

  it('records starts in contact', () => {
    const { gate } = open(() => true);
    assert.deepEqual(gate.choosePermit(600), { isRecorded: true, rule: 'all' });
  });

  it('starts only jobs of the own data centre while another node may claim the shard', async () => {
    const { gate, away } = open(() => false);
    gate.choosePermit(1_100);
    await settle();
    assert.deepEqual(gate.choosePermit(1_100), { isRecorded: false, rule: 'own-data-centre' });
    assert.deepEqual(away, []);
  });

  it('starts everything while no node is in contact, and only for as long as that is known', async () => {
    let isAway = true;
    const { gate, clock, away } = open(() => isAway);
    assert.equal(gate.choosePermit(1_100).rule, 'own-data-centre');
    await settle();
    assert.equal(gate.choosePermit(1_100).rule, 'all');
    assert.equal(away.length, 1);
    isAway = false;
    clock.advance(500);
    assert.equal(gate.choosePermit(1_600).rule, 'all');
    await settle();
    clock.advance(101);
    assert.equal(gate.choosePermit(1_701).rule, 'own-data-centre');
  });
});
