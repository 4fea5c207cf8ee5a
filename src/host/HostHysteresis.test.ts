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

  suspected: string[] = [];

  now = 0;

  constructor(hosts: [string, string][]) {
    this.known = hosts.map(([host, dataCentre]) => ({ host, dataCentre, status: 'live' }));
  }

  apply(list: ListedHost[], stepMs = 1_000): void {
    this.now += stepMs;
    const findings = this.hysteresis.apply(this.known, { list, now: this.now });
    this.suspected = findings.suspected;
    findings.observations.forEach(({ host, status }) => {
      const known = this.known.find((one) => one.host === host);
      if (known) known.status = status;
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
        const watch = new Watch([
          ['a', 'd1'],
          ['b', 'd1'],
        ]);
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
    const watch = new Watch([
      ['a', 'd1'],
      ['b', 'd1'],
    ]);
    watch.apply([A, B]);
    watch.apply([{ host: 'a', state: 'leaving' }, B]);
    assert.deepEqual(watch.changes, [{ host: 'a', status: 'leaving', at: 2_000 }]);
    for (let second = 0; second < 9; second += 1) watch.apply([{ host: 'a', state: 'leaving' }]);
    assert.equal(watch.changes.length, 1);
    watch.apply([{ host: 'a', state: 'leaving' }]);
    assert.deepEqual(watch.changes.at(-1), { host: 'b', status: 'failed', at: 12_000 });
  });

  it('does not take hosts for failed after a freeze, an outage or an empty list', () => {
    const watch = new Watch([
      ['a', 'd1'],
      ['b', 'd1'],
    ]);
    watch.apply([A, B]);
    watch.apply([A], 600_000);
    for (let second = 0; second < 60; second += 1) watch.apply([]);
    assert.deepEqual(watch.changes, []);
  });

  it('suspects a partition when every host of a data centre is missing', () => {
    const watch = new Watch([
      ['a', 'd1'],
      ['b', 'd2'],
    ]);
    watch.apply([A, B]);
    for (let second = 0; second < 12; second += 1) watch.apply([A]);
    assert.deepEqual(watch.suspected, ['d2']);
    assert.equal(watch.known[1]?.status, 'failed');
  });

  it('adopts what another controller decided instead of overruling it', () => {
    const watch = new Watch([
      ['a', 'd1'],
      ['b', 'd1'],
    ]);
    watch.apply([A, B]);
    const [a] = watch.known;
    if (a) a.status = 'failed';
    for (let second = 0; second < 29; second += 1) watch.apply([A, B]);
    assert.deepEqual(watch.changes, []);
  });
});
