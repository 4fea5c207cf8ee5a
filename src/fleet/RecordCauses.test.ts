import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LoggedRecord, Operation, RecordBody } from '../record/mod.js';
import { Host } from '../host/mod.js';
import { Pool } from '../pool/mod.js';
import { RecordCauses } from './_RecordCauses.js';
import { Fleet } from './Fleet.js';

/** Applies record bodies and returns the cause found for each of them. */
function applyAll(bodies: readonly RecordBody[]): (number | undefined)[] {
  const fleet = new Fleet();
  const causes = new RecordCauses();
  return bodies.map((body, offset) => {
    const record: LoggedRecord = { offset, time: offset, writer: 'w', sequence: offset + 1, body };
    const cause = causes.find(fleet.data, body);
    causes.add(fleet.data, record);
    const verdict = fleet.apply(record);
    assert.equal(verdict.outcome, 'accepted', JSON.stringify(verdict));
    return cause;
  });
}

function change(...operations: Operation[]): RecordBody {
  const id = JSON.stringify(operations);
  const parts = { part: 1, parts: 1, baseRevision: 1_000, operator: '' };
  return { type: 'config-change', changeId: id, operations, ...parts };
}

function put(name: string, rules: object): Operation {
  const pool = { name, availabilityBudget: 1, guardRackLoss: false, ...rules };
  return { action: 'put', kind: 'pool', object: Pool.parse(pool) };
}

function putHosts(...names: string[]): Operation[] {
  return names.map((name, index) => ({
    action: 'put',
    kind: 'host',
    object: Host.parse({ name, dataCentre: 'd', rack: 'r', address: `10.0.0.1:${index + 1}` }),
  }));
}

const DATA_CENTRE: Operation = {
  action: 'put',
  kind: 'dataCentre',
  object: { name: 'd', region: 'r' },
};

/**
 * Guards against naming the latest record as the cause instead of the one that caused the decision.
 */
describe('RecordCauses', () => {
  it('distinguishes assignments required by the rules from replacements of failed hosts', () => {
    const causes = applyAll([
      change(DATA_CENTRE, ...putHosts('h1', 'h2', 'h3'), put('p', { need: 1 })),
      { type: 'host-assign', hosts: ['h1'], pool: 'p' },
      change(put('q', { need: 1 })),
      { type: 'host-observed', observations: [{ host: 'h1', status: 'failed' }] },
      { type: 'host-assign', hosts: ['h2'], pool: 'p' },
      { type: 'host-assign', hosts: ['h3'], pool: 'q' },
    ]);
    assert.deepEqual(causes, [undefined, 0, undefined, undefined, 3, 2]);
  });

  it('traces each step of a move and of a maintenance back to the configuration change', () => {
    const causes = applyAll([
      change(DATA_CENTRE, ...putHosts('h1', 'h2'), put('p', { need: 1, headroom: 1 })),
      { type: 'host-assign', hosts: ['h1', 'h2'], pool: 'p' },
      change(put('q', { need: 1 })),
      { type: 'host-release', hosts: ['h1'], toPool: 'q', fromPool: 'p' },
      { type: 'host-assign', hosts: ['h1'], pool: 'q' },
      { type: 'maintenance-grant', hosts: ['h2'], wave: 'p/1' },
      { type: 'maintenance-start', hosts: ['h2'], wave: 'p/1' },
      { type: 'maintenance-end', hosts: ['h2'], wave: 'p/1' },
    ]);
    assert.deepEqual(causes, [undefined, 0, undefined, 2, 3, 0, 5, 5]);
  });
});
