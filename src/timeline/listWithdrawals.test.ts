import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { listWithdrawals } from './listWithdrawals.js';
import { Timeline } from './Timeline.js';

/**
 * Guards against listing a withdrawal that a later grant supersedes, or the same one per process.
 */
describe('listWithdrawals', () => {
  it('lists a host once, with the cause, if its last decision was a withdrawal', () => {
    const timelines = ['a', 'b'].map((name) => {
      const timeline = new Timeline(name, { clock: new ManualClock() });
      const record = (offset: number, type: string, hosts: string[], because?: number): void => {
        const cause = because === undefined ? {} : { because };
        timeline.record({
          type,
          hosts,
          offset,
          record: `w/${offset}`,
          ...cause,
          detail: 'h9 failed',
        });
      };
      record(1, 'maintenance-grant.accepted', ['h1', 'h2']);
      record(2, 'host-observed.accepted', ['h9']);
      record(3, 'maintenance-withdraw.accepted', ['h1', 'h2'], 2);
      record(4, 'maintenance-withdraw.rejected', ['h3'], 2);
      record(5, 'maintenance-grant.accepted', ['h2']);
      return timeline.list();
    });
    const listed = listWithdrawals(timelines);
    assert.deepEqual(
      listed.map(({ host }) => host),
      ['h1'],
    );
    assert.match(listed[0]?.reason ?? '', /losses used up .* \(offset 2: h9 failed\)/);
  });
});
