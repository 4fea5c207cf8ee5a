import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import { HostHysteresis, type KnownHost, type ListedHost } from './HostHysteresis.js';
import type { HostStatus } from './HostState.js';

/** Folds what one watcher observes, a list each second. */
class Watch {
  readonly hysteresis = new HostHysteresis();

  readonly known: KnownHost[];

  changes: { host: string; status: HostStatus; at: number }[] = [];

  now = 0;

  constructor(hosts: string[]) {
    this.known = hosts.map((host) => ({
      host,
      status: 'live',
      isInMaintenance: false,
      isAway: false,
      isFaulty: false,
    }));
  }

  apply(list: ListedHost[], stepMs = 1_000): void {
    this.now += stepMs;
    const findings = this.hysteresis.apply(this.known, { list, now: this.now });
    findings.observations.forEach(({ host, status, source }) => {
      const known = this.known.find((one) => one.host === host);
      if (known) {
        known.status = status;
        known.isFaulty = status === 'failed' && (known.isFaulty || source === 'gateways');
      }
      this.changes.push({ host, status, at: this.now });
    });
  }
}

const A: ListedHost = { host: 'a', state: 'live' };
const B: ListedHost = { host: 'b', state: 'live' };

describe('HostHysteresis', () => {
  it('writes few records for a host that flaps in any pattern', () => {
    const pattern = fc.array(fc.constantFrom('live', 'leaving', 'absent', 'reported'), {
      minLength: 1,
      maxLength: 100,
    });
    fc.assert(
      fc.property(pattern, (states) => {
        const watch = new Watch(['a', 'b']);
        for (let second = 0; second < 7_200; second += 1) {
          const state = states[Math.floor(second / 3) % states.length];
          if (state === 'reported') {
            ['g1', 'g2'].forEach((reporter) => watch.hysteresis.report({ host: 'a', reporter }));
          }
          const one: ListedHost = { host: 'a', state: state === 'leaving' ? 'leaving' : 'live' };
          watch.apply(state === 'absent' ? [B] : [one, B]);
        }
        assert.ok(watch.changes.length <= 40, `${watch.changes.length} changes in two hours`);
        assert.ok(watch.changes.every(({ host }) => host === 'a'));
      }),
      { seed: readSeed(), numRuns: 40 },
    );
  });

  it('reports a leaving host at once and a missing one after ten seconds, not earlier', () => {
    const watch = new Watch(['a', 'b']);
    watch.apply([A, B]);
    watch.apply([{ host: 'a', state: 'leaving' }, B]);
    assert.deepEqual(watch.changes, [{ host: 'a', status: 'leaving', at: 2_000 }]);
    for (let second = 0; second < 9; second += 1) watch.apply([{ host: 'a', state: 'leaving' }]);
    assert.equal(watch.changes.length, 1);
    watch.apply([{ host: 'a', state: 'leaving' }]);
    assert.deepEqual(watch.changes.at(-1), { host: 'b', status: 'failed', at: 12_000 });
  });

  it('does not take hosts for failed after a freeze, an outage or an empty list', () => {
    const watch = new Watch(['a', 'b']);
    watch.apply([A, B]);
    watch.apply([A], 600_000);
    for (let second = 0; second < 60; second += 1) watch.apply([]);
    assert.deepEqual(watch.changes, []);
  });

  it('adopts what another controller decided instead of overruling it', () => {
    const watch = new Watch(['a', 'b']);
    watch.apply([A, B]);
    const [a] = watch.known;
    if (a) a.status = 'failed';
    for (let second = 0; second < 29; second += 1) watch.apply([A, B]);
    assert.deepEqual(watch.changes, []);
  });

  // Guards against a wave that waits minutes for each host because its reboot counts as a flap.
  it('takes the way of a host through its maintenance for no flap', () => {
    const watch = new Watch(['a', 'b']);
    watch.apply([A, B]);
    const [a] = watch.known;
    assert.ok(a);
    for (let round = 0; round < 5; round += 1) {
      a.isInMaintenance = true;
      const from = watch.now;
      for (let second = 0; second < 4; second += 1) watch.apply([B]);
      for (let second = 0; second < 7; second += 1) watch.apply([A, B]);
      const changes = watch.changes.slice(-2).map(({ status, at }) => [status, at - from]);
      assert.deepEqual(changes, [
        ['failed', 1_000],
        ['live', 10_000],
      ]);
      a.isInMaintenance = false;
      watch.apply([A, B]);
    }
    assert.equal(watch.changes.length, 10);
  });

  // Guards against a host that fails all its work and gets more each time the reports stop.
  it('keeps a reported host failed until a gateway reports it healthy', () => {
    const watch = new Watch(['a', 'b']);
    watch.apply([A, B]);
    ['g1', 'g2'].forEach((reporter) => watch.hysteresis.report({ host: 'a', reporter }));
    for (let second = 0; second < 600; second += 1) watch.apply([A, B]);
    assert.deepEqual(watch.changes, [{ host: 'a', status: 'failed', at: 2_000 }]);
    watch.hysteresis.report({ host: 'a', reporter: 'g1', isHealthy: true });
    watch.apply([A, B]);
    assert.deepEqual(watch.changes.slice(1), [{ host: 'a', status: 'live', at: 602_000 }]);
  });

  // Guards against a failed host that counts as maintained before it was rebooted.
  it('waits for the reboot of a host that had failed before its maintenance', () => {
    const watch = new Watch(['a', 'b']);
    watch.apply([A, B]);
    ['g1', 'g2'].forEach((reporter) => watch.hysteresis.report({ host: 'a', reporter }));
    watch.apply([A, B]);
    const [a] = watch.known;
    if (a) a.isInMaintenance = true;
    for (let second = 0; second < 60; second += 1) watch.apply([A, B]);
    assert.equal(watch.changes.length, 1);
    for (let second = 0; second < 4; second += 1) watch.apply([B]);
    for (let second = 0; second < 7; second += 1) watch.apply([A, B]);
    assert.equal(watch.changes.at(-1)?.status, 'live');
  });
});
