import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import { HostFailureDetector, type KnownHost, type ListedHost } from './HostFailureDetector.js';
import type { HostStatus } from './HostState.js';

/** Feeds a detector with one list per second and records its observations in the known hosts. */
class Harness {
  readonly detector = new HostFailureDetector();

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
    const findings = this.detector.apply(this.known, { list, now: this.now });
    findings.observations.forEach(({ host, status, source }) => {
      const known = this.known.find((knownHost) => knownHost.host === host);
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

describe('HostFailureDetector', () => {
  it('reports few status changes for a host that flaps in any pattern', () => {
    const pattern = fc.array(fc.constantFrom('live', 'leaving', 'absent', 'reported'), {
      minLength: 1,
      maxLength: 100,
    });
    fc.assert(
      fc.property(pattern, (states) => {
        const harness = new Harness(['a', 'b']);
        for (let second = 0; second < 7_200; second += 1) {
          const state = states[Math.floor(second / 3) % states.length];
          if (state === 'reported') {
            ['g1', 'g2'].forEach((reporter) => harness.detector.report({ host: 'a', reporter }));
          }
          const listed: ListedHost = { host: 'a', state: state === 'leaving' ? 'leaving' : 'live' };
          harness.apply(state === 'absent' ? [B] : [listed, B]);
        }
        assert.ok(harness.changes.length <= 40, `${harness.changes.length} changes in two hours`);
        assert.ok(harness.changes.every(({ host }) => host === 'a'));
      }),
      { seed: readSeed(), numRuns: 40 },
    );
  });

  it('reports a leaving host immediately and a missing host only after ten seconds', () => {
    const harness = new Harness(['a', 'b']);
    harness.apply([A, B]);
    harness.apply([{ host: 'a', state: 'leaving' }, B]);
    assert.deepEqual(harness.changes, [{ host: 'a', status: 'leaving', at: 2_000 }]);
    for (let second = 0; second < 9; second += 1) harness.apply([{ host: 'a', state: 'leaving' }]);
    assert.equal(harness.changes.length, 1);
    harness.apply([{ host: 'a', state: 'leaving' }]);
    assert.deepEqual(harness.changes.at(-1), { host: 'b', status: 'failed', at: 12_000 });
  });

  it('does not report hosts as failed after a freeze, an outage or an empty list', () => {
    const harness = new Harness(['a', 'b']);
    harness.apply([A, B]);
    harness.apply([A], 600_000);
    for (let second = 0; second < 60; second += 1) harness.apply([]);
    assert.deepEqual(harness.changes, []);
  });

  it('adopts the status recorded by another controller instead of overriding it', () => {
    const harness = new Harness(['a', 'b']);
    harness.apply([A, B]);
    const [a] = harness.known;
    if (a) a.status = 'failed';
    for (let second = 0; second < 29; second += 1) harness.apply([A, B]);
    assert.deepEqual(harness.changes, []);
  });

  // Guards against a wave that waits minutes for every host because its reboot counts as a flap.
  it('does not count a reboot during maintenance as a flap', () => {
    const harness = new Harness(['a', 'b']);
    harness.apply([A, B]);
    const [a] = harness.known;
    assert.ok(a);
    for (let round = 0; round < 5; round += 1) {
      a.isInMaintenance = true;
      const from = harness.now;
      for (let second = 0; second < 4; second += 1) harness.apply([B]);
      for (let second = 0; second < 7; second += 1) harness.apply([A, B]);
      const changes = harness.changes.slice(-2).map(({ status, at }) => [status, at - from]);
      assert.deepEqual(changes, [
        ['failed', 1_000],
        ['live', 10_000],
      ]);
      a.isInMaintenance = false;
      harness.apply([A, B]);
    }
    assert.equal(harness.changes.length, 10);
  });

  // Guards against a host that fails all its jobs and receives new ones whenever the reports stop.
  it('keeps a reported host failed until a gateway reports it healthy', () => {
    const harness = new Harness(['a', 'b']);
    harness.apply([A, B]);
    ['g1', 'g2'].forEach((reporter) => harness.detector.report({ host: 'a', reporter }));
    for (let second = 0; second < 600; second += 1) harness.apply([A, B]);
    assert.deepEqual(harness.changes, [{ host: 'a', status: 'failed', at: 2_000 }]);
    harness.detector.report({ host: 'a', reporter: 'g1', isHealthy: true });
    harness.apply([A, B]);
    assert.deepEqual(harness.changes.slice(1), [{ host: 'a', status: 'live', at: 602_000 }]);
  });

  // Guards against a failed host that counts as maintained before its reboot.
  it('waits for the reboot of a host that had failed before its maintenance', () => {
    const harness = new Harness(['a', 'b']);
    harness.apply([A, B]);
    ['g1', 'g2'].forEach((reporter) => harness.detector.report({ host: 'a', reporter }));
    harness.apply([A, B]);
    const [a] = harness.known;
    if (a) a.isInMaintenance = true;
    for (let second = 0; second < 60; second += 1) harness.apply([A, B]);
    assert.equal(harness.changes.length, 1);
    for (let second = 0; second < 4; second += 1) harness.apply([B]);
    for (let second = 0; second < 7; second += 1) harness.apply([A, B]);
    assert.equal(harness.changes.at(-1)?.status, 'live');
  });
});
