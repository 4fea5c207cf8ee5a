import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Host } from '../host/mod.js';
import { Pool } from '../pool/mod.js';
import type { LoggedRecord, RecordBody } from '../record/mod.js';
import { Fleet } from './Fleet.js';
import { parseSnapshot } from './parseSnapshot.js';

const BODIES: RecordBody[] = [
  {
    type: 'config-change',
    changeId: 'c',
    baseRevision: 0,
    part: 1,
    parts: 1,
    operator: '',
    operations: [
      { action: 'put', kind: 'dataCentre', object: { name: 'd', region: 'r' } },
      {
        action: 'put',
        kind: 'host',
        object: Host.parse({ name: 'h1', dataCentre: 'd', rack: 'r', address: '10.0.0.1:80' }),
      },
      {
        action: 'put',
        kind: 'pool',
        object: Pool.parse({ name: 'p', need: 1, availabilityBudget: 1, guardRackLoss: false }),
      },
    ],
  },
  { type: 'host-assign', hosts: ['h1'], pool: 'p' },
  { type: 'maintenance-grant', hosts: ['h1'], wave: 'p/1' },
  { type: 'host-observed', observations: [{ host: 'h1', status: 'failed' }] },
  { type: 'maintenance-start', hosts: ['h1'], wave: 'p/1' },
  { type: 'host-observed', observations: [{ host: 'h1', status: 'live' }] },
  { type: 'maintenance-end', hosts: ['h1'], wave: 'p/1' },
  { type: 'host-release', hosts: ['h1'], fromPool: 'p' },
];

/** Guards against all controllers rejecting a valid checkpoint because its hash differs. */
describe('parseSnapshot', () => {
  it('restores a state with the same serialization at each offset', async () => {
    const fleet = new Fleet();
    for (let offset = 0; offset < BODIES.length; offset += 1) {
      const body = BODIES[offset] as RecordBody;
      const record: LoggedRecord = {
        offset,
        time: offset,
        writer: 'w',
        sequence: offset + 1,
        body,
      };
      fleet.apply(record);
      const restored = Fleet.restore(await parseSnapshot(JSON.parse(fleet.snapshotText())));
      assert.equal(restored.snapshotText(), fleet.snapshotText(), body.type);
    }
  });
});
