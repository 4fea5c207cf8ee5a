import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ManualClock } from '../clock/mod.js';
import { describeRecord } from './describeRecord.js';
import { explainSubject } from './explainSubject.js';
import { Timeline } from './Timeline.js';

const seed = Number(process.env.FC_SEED ?? 42);
const MAX_EVENT_BYTES = 4_096;
const name = fc.string({ minLength: 1, maxLength: 63, unit: fc.constantFrom('a', '-', '9') });

/** Guards against a timeline whose memory use grows with the number of hosts of a change. */
describe('the size of an event', () => {
  it('is bounded for any number of hosts and reasons in the record, and keeps the host count', () => {
    const body = fc.oneof(
      fc.array(name, { maxLength: 300 }).map((hosts) => ({ type: 'host-assign', hosts }) as const),
      fc
        .array(fc.record({ host: name, status: fc.constant('failed' as const) }), {
          maxLength: 300,
        })
        .map((observations) => ({ type: 'host-observed', observations }) as const),
    );
    const reasons = fc.array(fc.string({ maxLength: 400 }), { maxLength: 100 });
    fc.assert(
      fc.property(body, reasons, (recordBody, why) => {
        const timeline = new Timeline('p', { clock: new ManualClock() });
        const record = { offset: 7, time: 1, writer: 'w', sequence: 1, body: recordBody };
        timeline.record(describeRecord(record, { outcome: 'rejected', reasons: why }));
        const [event] = timeline.list();
        assert.ok(Buffer.byteLength(JSON.stringify(event)) <= MAX_EVENT_BYTES);
        const count =
          'hosts' in recordBody ? recordBody.hosts.length : recordBody.observations.length;
        assert.equal(event?.hostCount ?? event?.hosts?.length, count);
      }),
      { seed, numRuns: 200 },
    );
  });

  it('explains a host that a truncated event does not list, using the records of the host', () => {
    const timeline = new Timeline('p', { clock: new ManualClock() });
    const hosts = Array.from({ length: 300 }, (_, index) => `h${index}`);
    const changed = { type: 'config-change.accepted', offset: 3, record: 'w/1', appendedAt: 10 };
    timeline.record({ ...changed, hosts });
    const assigned = { type: 'host-assign.accepted', offset: 4, record: 'w/2', appendedAt: 20 };
    timeline.record({ ...assigned, hosts, because: 3 });
    timeline.record({ ...assigned, hosts, offset: 5, record: 'w/3', appendedAt: 21 });
    const subject = { kind: 'host', name: 'h299' } as const;
    assert.deepEqual(explainSubject([timeline.list()], subject), []);
    const records = { offsets: [], times: [20] };
    const steps = explainSubject([timeline.list()], { ...subject, records });
    assert.deepEqual(
      steps.map(({ event }) => event.offset),
      [3, 4],
    );
    assert.deepEqual(steps[1]?.causes, ['p#1']);
  });
});
