import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConfigChange } from '../record/mod.js';
import { Fleet } from './Fleet.js';
import type { Verdict } from './Verdict.js';

const HOUR_MS = 3_600_000;

/** Folds changes of the configuration one after the other. */
class Operators {
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

describe('changes of the configuration', () => {
  // Guards against one upstream process that serves two pools under two names.
  it('refuses a second host with the address of another, in whatever spelling', () => {
    const operators = new Operators();
    assert.equal(explain(operators.change([put('h1', '10.0.0.1:80')])), 'accepted');
    const twice = explain(operators.change([put('h2', '10.0.0.1:0080')]));
    assert.match(twice, /hosts\.h2\.address: "10\.0\.0\.1:0080" is the address of host "h1"/);
    const inOne = operators.change([put('h2', '10.0.0.2:80'), put('h3', '10.0.0.2:80')]);
    assert.match(explain(inOne), /hosts\.h3\.address: .* host "h2"/);
    const copy = Fleet.restore(operators.fleet.snapshot());
    assert.equal(copy.data.configuration.findHostAt('10.0.0.1:80'), 'h1');
    // An address that its host gives up in the same change is free.
    const swap = operators.change([put('h1', '10.0.0.9:80'), put('h2', '10.0.0.1:80')]);
    assert.equal(explain(swap), 'accepted');
    assert.equal(operators.fleet.data.configuration.findHostAt('10.0.0.1:80'), 'h2');
    assert.match(explain(operators.change([put('h4', '10.0.0.9:80')])), /address of host "h1"/);
  });

  // Guards against a gateway with older state that sends one pool's work to another pool's host.
  it('refuses a new address for a host that a pool has', () => {
    const operators = new Operators();
    operators.change([put('h1', '10.0.0.1:80')]);
    operators.assign('h1');
    const verdict = operators.change([put('h1', '10.0.0.2:80')]);
    assert.match(explain(verdict), /address: cannot change while the host is serving/);
  });

  // Guards against abandoned parts that stay in every snapshot, or take effect a day later.
  it('drops the parts of a change that is not complete after an hour', () => {
    const operators = new Operators();
    const two = { changeId: 'x', parts: 2 };
    operators.change([put('h1', '10.0.0.1:80')], { ...two, part: 1 });
    operators.time += HOUR_MS;
    operators.change([put('h9', '10.0.0.9:80')]);
    assert.equal(operators.fleet.data.pendingChanges.size, 1);
    operators.time += 1;
    operators.change([put('h2', '10.0.0.2:80')], { ...two, part: 2 });
    assert.equal(operators.fleet.findHostState('h1'), undefined);
    assert.equal(operators.fleet.findHostState('h2'), undefined);
    operators.time += HOUR_MS + 1;
    operators.change([put('h8', '10.0.0.8:80')]);
    assert.equal(operators.fleet.data.pendingChanges.size, 0);
  });
});
