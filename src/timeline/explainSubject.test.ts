import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { explainSubject } from './explainSubject.js';
import { formatExplanation } from './formatExplanation.js';
import { Timeline } from './Timeline.js';

function createTimelines() {
  const clock = new ManualClock(1_000_000);
  // The controller's clock is 2 s ahead, so that ordering by wall clock alone would be wrong.
  const controller = new Timeline('controller', { clock: new ManualClock(1_002_000) });
  const gateway = new Timeline('gateway', { clock });
  controller.record({ type: 'host-observed.proposed', hosts: ['h1'], proposes: 'w/1' });
  gateway.record({ type: 'host-observed.accepted', hosts: ['h1'], record: 'w/1', offset: 3 });
  clock.advance(5);
  gateway.record({ type: 'host-assign.rejected', hosts: ['h1'] });
  const sent = gateway.record({ type: 'request.sent', request: 'r1', host: 'h1' });
  gateway.record({ type: 'request.failed', request: 'r1', host: 'h1', cause: sent });
  gateway.record({ type: 'request.answered', request: 'r2', host: 'h1' });
  gateway.record({ type: 'host.ejected', host: 'h2', offset: 3 });
  return [gateway.list(), controller.list()];
}

/** Guards against explanations that omit a cause, or that include an event without effect. */
describe('explainSubject', () => {
  it('traces a failed request back to the observation of its host and to its proposal', () => {
    const steps = explainSubject(createTimelines(), { kind: 'request', name: 'r1' });
    assert.deepEqual(
      steps.map((step) => step.event.type),
      ['host-observed.proposed', 'host-observed.accepted', 'request.sent', 'request.failed'],
    );
    assert.deepEqual(steps.at(-1)?.causes, ['gateway#3', 'gateway#1']);
    assert.equal(steps[1]?.skewMs, 2_000);
    assert.equal(steps[0]?.isAboutSubject, false);
    assert.match(formatExplanation(steps), /^2 .*clock behind by 2000 ms or more.* <- 1$/m);
  });

  it('omits successful requests from the explanation of a host', () => {
    const steps = explainSubject(createTimelines(), { kind: 'host', name: 'h1' });
    assert.ok(!steps.some((step) => step.event.request === 'r2'));
    assert.ok(steps.some((step) => step.event.type === 'request.failed'));
    assert.ok(!steps.some((step) => step.event.host === 'h2'));
  });

  it('formats a record that several processes applied as one step', () => {
    const applied = { type: 'host-assign.accepted', hosts: ['h1'], record: 'w/1', offset: 3 };
    const timelines = ['a', 'b'].map((name) => {
      const timeline = new Timeline(name, { clock: new ManualClock() });
      timeline.record(applied);
      timeline.record({ type: 'request.failed', request: `r-${name}`, host: 'h1' });
      return timeline.list();
    });
    const text = formatExplanation(explainSubject(timelines, { kind: 'host', name: 'h1' }));
    assert.match(text, /^1 .*host-assign\.accepted.*\(in 2 processes\)\n2 .* <- 1\n3 .* <- 1$/);
  });

  it('finds the proposal of an event that has only an offset', () => {
    const steps = explainSubject(createTimelines(), { kind: 'host', name: 'h2' });
    assert.deepEqual(steps.at(-1)?.causes, ['controller#1']);
  });

  it('returns no steps for a subject without events', () => {
    assert.deepEqual(explainSubject(createTimelines(), { kind: 'change', name: 'c1' }), []);
  });
});

/** Guards against the eviction of fleet events by a high request rate. */
describe('Timeline', () => {
  it('keeps fleet events when request events exceed the capacity', () => {
    const timeline = new Timeline('p', { clock: new ManualClock(), capacity: 10 });
    timeline.record({ type: 'host.ejected', host: 'h1' });
    for (let index = 0; index < 100; index += 1) {
      timeline.record({ type: 'request.sent', request: `r${index}` });
    }
    const events = timeline.list();
    assert.equal(events[0]?.type, 'host.ejected');
    assert.deepEqual(
      events.map(({ id }) => id),
      [1, 97, 98, 99, 100, 101],
    );
  });
});
