import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import type { FleetEvent } from './FleetEvent.js';
import { mergeTimelines } from './mergeTimelines.js';

const SEED = readSeed();
const PROCESSES = ['a', 'b', 'c'];

/** A step of an event history: a process acts, proposes a record or applies a proposed one. */
const HistoryStep = fc.record({
  process: fc.constantFrom(...PROCESSES),
  action: fc.constantFrom('act', 'propose', 'apply'),
  pick: fc.nat(),
  elapsed: fc.nat(3),
});

/** Events of several processes, each with its own clock, which may be off by seconds. */
const EventHistory = fc
  .tuple(
    fc.array(HistoryStep, { maxLength: 40 }),
    fc.array(fc.integer({ min: -5_000, max: 5_000 })),
  )
  .map(([steps, skews]) => {
    const events: FleetEvent[] = [];
    const proposed: string[] = [];
    let now = 10_000;
    steps.forEach(({ process, action, pick, elapsed }, index) => {
      now += elapsed;
      const id = events.filter((event) => event.process === process).length + 1;
      const wall = now + (skews[PROCESSES.indexOf(process)] ?? 0);
      const event: FleetEvent = { id, process, wall, monotonic: now, type: action, detail: '' };
      if (action === 'propose') {
        event.proposes = `${process}/${index}`;
        proposed.push(event.proposes);
      }
      if (action === 'apply' && proposed.length > 0)
        event.record = proposed[pick % proposed.length];
      events.push(event);
    });
    return events;
  });

function splitByProcess(events: readonly FleetEvent[]): FleetEvent[][] {
  return PROCESSES.map((name) => events.filter((event) => event.process === name));
}

describe('mergeTimelines', () => {
  it('is independent of the order, grouping and duplication of the inputs', () => {
    const shuffled = EventHistory.chain((events) =>
      fc.record({
        events: fc.constant(events),
        order: fc.shuffledSubarray(events, { minLength: events.length }),
        repeated: fc.subarray(events),
      }),
    );
    fc.assert(
      fc.property(shuffled, ({ events, order, repeated }) => {
        const expected = mergeTimelines(splitByProcess(events));
        assert.deepEqual(mergeTimelines([repeated, ...order.map((event) => [event])]), expected);
        assert.equal(expected.length, events.length);
      }),
      { seed: SEED },
    );
  });

  it('keeps the order of each process even if its wall clock jumps back', () => {
    const jumping = fc
      .tuple(EventHistory, fc.array(fc.integer({ min: -9_000, max: 9_000 })))
      .map(([events, jumps]) =>
        events.map((event, index) => ({ ...event, wall: event.wall + (jumps[index] ?? 0) })),
      );
    fc.assert(
      fc.property(jumping, (events) => {
        const merged = mergeTimelines(splitByProcess(events)).map(({ event }) => event);
        PROCESSES.forEach((name) => {
          const ids = merged.filter(({ process }) => process === name).map(({ id }) => id);
          assert.deepEqual(
            ids,
            [...ids].sort((x, y) => x - y),
          );
        });
      }),
      { seed: SEED },
    );
  });

  it('orders the proposal of a record before its effects and reports the clock skew', () => {
    fc.assert(
      fc.property(EventHistory, (events) => {
        const merged = mergeTimelines(splitByProcess(events));
        merged.forEach(({ event, skewMs }, index) => {
          if (event.record === undefined) return;
          const at = merged.findIndex((candidate) => candidate.event.proposes === event.record);
          assert.ok(at >= 0 && at < index, `${event.record} is used before it is proposed`);
          assert.ok(skewMs >= (merged[at]?.event.wall ?? 0) - event.wall);
        });
      }),
      { seed: SEED },
    );
  });

  it('includes all events when the causes form a cycle', () => {
    const base = { id: 1, wall: 0, monotonic: 0, type: 'x', detail: '' };
    const a: FleetEvent = { ...base, process: 'a', proposes: 'a/1', record: 'b/1' };
    const b: FleetEvent = { ...base, process: 'b', proposes: 'b/1', record: 'a/1' };
    assert.equal(mergeTimelines([[a], [b]]).length, 2);
  });
});
