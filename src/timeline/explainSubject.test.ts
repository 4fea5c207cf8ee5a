import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { explainSubject } from './explainSubject.js';
import { formatExplanation } from './formatExplanation.js';
import { Timeline } from './Timeline.js';

function createTimelines() {
  const clock = new ManualClock(1_000_000);
  // The controller's clock runs 2 s ahead, so that wall clocks alone give the wrong order.
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

/** Guards against explanations that leave out a cause, or that blame something without effect. */
describe('explainSubject', () => {
  it('leads from a failed request over what was seen of its host to the proposal', () => {
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

  it('leaves requests that went well out of the explanation of a host', () => {
    const steps = explainSubject(createTimelines(), { kind: 'host', name: 'h1' });
    assert.ok(!steps.some((step) => step.event.request === 'r2'));
    assert.ok(steps.some((step) => step.event.type === 'request.failed'));
    assert.ok(!steps.some((step) => step.event.host === 'h2'));
  });

  it('shows a record that several processes folded as one step', () => {
    const folded = { type: 'host-assign.accepted', hosts: ['h1'], record: 'w/1', offset: 3 };
    const timelines = ['a', 'b'].map((name) => {
      const timeline = new Timeline(name, { clock: new ManualClock() });
      timeline.record(folded);
      timeline.record({ type: 'request.failed', request: `r-${name}`, host: 'h1' });
      return timeline.list();
    });
    const text = formatExplanation(explainSubject(timelines, { kind: 'host', name: 'h1' }));
    assert.match(text, /^1 .*host-assign\.accepted.*\(in 2 processes\)\n2 .* <- 1\n3 .* <- 1$/);
  });

  it('finds the proposal of an event that knows only the offset', () => {
    const steps = explainSubject(createTimelines(), { kind: 'host', name: 'h2' });
    assert.deepEqual(steps.at(-1)?.causes, ['controller#1']);
  });

  it('has no step for something that no event is about', () => {
    assert.deepEqual(explainSubject(createTimelines(), { kind: 'change', name: 'c1' }), []);
  });
});

/** Guards against a flood of requests that pushes the decisions about the fleet out of the ring. */
describe('Timeline', () => {
  it('keeps the events about the fleet through a flood of requests', () => {
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
