import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConfigChange } from '../record/mod.js';
import { Fleet } from './Fleet.js';
import type { Verdict } from './Verdict.js';

const HOUR_MS = 3_600_000;

/** Applies configuration changes to a fleet one after the other. */
class ConfigurationHarness {
  readonly fleet = new Fleet();

  #offset = 0;

  time = 1_000;

  constructor() {
    this.change([{ kind: 'dataCentre', object: { name: 'd1', region: 'r' } }]);
    this.change([{ kind: 'pool', object: { name: 'a', need: 1 } }]);
  }

  change(operations: object[], part: { changeId?: string; part?: number; parts?: number } = {}) {
    const offset = this.#offset;
    this.#offset += 1;
    const head = { changeId: `c${offset}`, part: 1, parts: 1, ...part };
    const body = ConfigChange.parse({
      type: 'config-change',
      baseRevision: this.fleet.revision,
      operations: operations.map((one) => ({ action: 'put', ...one })),
      ...head,
    });
    return this.fleet.apply({ offset, time: this.time, writer: `w${offset}`, sequence: 1, body });
  }

  assign(host: string): void {
    const offset = this.#offset;
    this.#offset += 1;
    const body = { type: 'host-assign' as const, hosts: [host], pool: 'a' };
    this.fleet.apply({ offset, time: this.time, writer: `w${offset}`, sequence: 1, body });
  }
}

function put(name: string, address: string): object {
  return { kind: 'host', object: { name, dataCentre: 'd1', rack: 'r', address } };
}

function explain(verdict: Verdict): string {
  return verdict.outcome === 'rejected' ? verdict.reasons.join() : verdict.outcome;
}

describe('configuration changes', () => {
  // Guards against one upstream process serving two pools under two host names.
  it('rejects a host with the address of another host, in any spelling', () => {
    const harness = new ConfigurationHarness();
    assert.equal(explain(harness.change([put('h1', '10.0.0.1:80')])), 'accepted');
    const twice = explain(harness.change([put('h2', '10.0.0.1:0080')]));
    assert.match(twice, /hosts\.h2\.address: "10\.0\.0\.1:0080" is the address of host "h1"/);
    const inOne = harness.change([put('h2', '10.0.0.2:80'), put('h3', '10.0.0.2:80')]);
    assert.match(explain(inOne), /hosts\.h3\.address: .* host "h2"/);
    const copy = Fleet.restore(harness.fleet.snapshot());
    assert.equal(copy.data.configuration.findHostAt('10.0.0.1:80'), 'h1');
    // An address that its host gives up in the same change is available.
    const swap = harness.change([put('h1', '10.0.0.9:80'), put('h2', '10.0.0.1:80')]);
    assert.equal(explain(swap), 'accepted');
    assert.equal(harness.fleet.data.configuration.findHostAt('10.0.0.1:80'), 'h2');
    assert.match(explain(harness.change([put('h4', '10.0.0.9:80')])), /address of host "h1"/);
  });

  // Guards against a gateway with an older state sending work of one pool to a host of another.
  it('rejects a new address for a host that is in a pool', () => {
    const harness = new ConfigurationHarness();
    harness.change([put('h1', '10.0.0.1:80')]);
    harness.assign('h1');
    const verdict = harness.change([put('h1', '10.0.0.2:80')]);
    assert.match(explain(verdict), /address: cannot change while the host is serving/);
  });

  // Guards against parts of an abandoned change staying in snapshots or taking effect a day later.
  it('drops the parts of a change that is incomplete after an hour', () => {
    const harness = new ConfigurationHarness();
    const two = { changeId: 'x', parts: 2 };
    harness.change([put('h1', '10.0.0.1:80')], { ...two, part: 1 });
    harness.time += HOUR_MS;
    harness.change([put('h9', '10.0.0.9:80')]);
    assert.equal(harness.fleet.data.pendingChanges.size, 1);
    harness.time += 1;
    harness.change([put('h2', '10.0.0.2:80')], { ...two, part: 2 });
    assert.equal(harness.fleet.findHostState('h1'), undefined);
    assert.equal(harness.fleet.findHostState('h2'), undefined);
    harness.time += HOUR_MS + 1;
    harness.change([put('h8', '10.0.0.8:80')]);
    assert.equal(harness.fleet.data.pendingChanges.size, 0);
  });
});
