/* eslint-disable max-classes-per-file -- the test doubles of one test file. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ActorScope } from '../actor/mod.js';
import { Clock } from '../clock/mod.js';
import { OffsetExpiredError, RecordSource, type RecordBatch } from '../log/mod.js';
import { decodeRecord, type LogEntry } from '../record/mod.js';
import { arbitraryEntries, buildEntries, readSeed, waitFor } from '../testing/mod.js';
import { Fleet } from './Fleet.js';
import { FleetFollower, type FollowerStatus } from './FleetFollower.js';
import { FleetReplica } from './FleetReplica.js';
import { FleetProjector } from './FleetProjector.js';

type Behaviour =
  | { do: 'read'; max: number }
  | { do: 'fail' | 'expire' | 'skip' | 'rewind' | 'disorder' | 'hang' }
  | { do: 'broken-snapshot' };

/** Runs 40 times faster than real time, so that retry delays and quarantines elapse in the test. */
class FastClock extends Clock {
  override readWall(): number {
    return this.readMonotonic();
  }

  override readMonotonic(): number {
    return performance.now() * 40;
  }
}

function applyAll(entries: LogEntry[], end = entries.length): Fleet {
  const fleet = new Fleet();
  entries.slice(0, end).forEach((entry) => {
    const record = decodeRecord(entry);
    if (record) fleet.apply(record);
    fleet.raiseNextOffset(entry.offset + 1);
  });
  return fleet;
}

/** A source that follows a script of faults and answers correctly after its end. */
class ScriptedSource extends RecordSource {
  override readonly name = 'scripted';

  readonly #entries: LogEntry[];

  readonly #script: Behaviour[];

  constructor(entries: LogEntry[], script: Behaviour[]) {
    super();
    this.#entries = entries;
    this.#script = [...script];
  }

  override async read(from: number, _waitMs: number, signal: AbortSignal): Promise<RecordBatch> {
    const next = this.#script.shift() ?? { do: 'read', max: 5 };
    if (next.do === 'fail') throw new Error('down');
    if (next.do === 'expire') throw new OffsetExpiredError('fleet', from, from + 1);
    if (next.do === 'hang') {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    if (signal.aborted) throw new Error('aborted');
    const max = next.do === 'read' ? next.max : 3;
    const slice = this.#entries.slice(from, from + max);
    const records = slice.map(decodeRecord).filter((one) => one !== undefined);
    const batch: RecordBatch = {
      fromOffset: from,
      records,
      nextOffset: from + slice.length,
      broken: slice.length - records.length,
      isComplete: from + slice.length >= this.#entries.length,
      contactAgeMs: 0,
    };
    if (next.do === 'skip') return { ...batch, fromOffset: from + 1, nextOffset: from + 4 };
    if (next.do === 'rewind') return { ...batch, nextOffset: from - 1 };
    if (next.do === 'disorder') return { ...batch, records: [...records, ...records] };
    return batch;
  }

  override async fetchSnapshot(): Promise<unknown> {
    const next = this.#script[0];
    if (next?.do === 'broken-snapshot') return { nextOffset: 'many' };
    const end = next?.do === 'read' ? next.max * 2 : 0;
    return end === 0 ? undefined : applyAll(this.#entries, end).snapshot();
  }

  override async close(): Promise<void> {
    // There are no connections to close.
  }
}

/** Records the offsets of the replica and its last hash. */
class OffsetProjector extends FleetProjector {
  readonly offsets: number[] = [];

  hash = '';

  override project(fleet: Fleet): void {
    this.offsets.push(fleet.nextOffset);
    this.hash = fleet.hash();
  }
}

const behaviour: fc.Arbitrary<Behaviour> = fc.oneof(
  fc.record({ do: fc.constant('read' as const), max: fc.integer({ min: 1, max: 4 }) }),
  fc.record({
    do: fc.constantFrom(
      'fail' as const,
      'expire' as const,
      'skip' as const,
      'rewind' as const,
      'disorder' as const,
      'hang' as const,
    ),
  }),
  fc.record({ do: fc.constant('broken-snapshot' as const) }),
);

describe('FleetFollower', () => {
  it('never moves back or skips a record, whatever its sources answer', async () => {
    const script = fc.array(behaviour, { maxLength: 8 });
    await fc.assert(
      fc.asyncProperty(arbitraryEntries, fc.tuple(script, script), async (entries, scripts) => {
        const scope = new ActorScope('test', (_actor, error) => {
          throw error;
        });
        const clock = new FastClock();
        const replica = new FleetReplica(scope, { clock });
        const projector = new OffsetProjector();
        replica.send({ type: 'subscribe', projector });
        const sources = [
          ...scripts.map((one) => new ScriptedSource(entries, one)),
          new ScriptedSource(entries, []),
        ];
        const options = { clock, random: () => 0, tickMs: 1 };
        const follower = new FleetFollower(scope, replica, sources, options);
        follower.start();
        await waitFor('the end of the log', () => {
          const last = projector.offsets.at(-1);
          return last !== undefined && last >= entries.length;
        });
        await follower.close();
        const { offsets } = projector;
        assert.deepEqual(
          [...offsets].sort((a, b) => a - b),
          offsets,
        );
        assert.equal(projector.hash, applyAll(entries).hash());
        replica.close();
        scope.close();
      }),
      { seed: readSeed(), numRuns: 60 },
    );
  });

  it('is not ready and reports the reasons while no source answers', async () => {
    const scope = new ActorScope('test', () => {});
    const replica = new FleetReplica(scope);
    const fail = Array.from({ length: 10_000 }, (): Behaviour => ({ do: 'fail' }));
    const sources = [new ScriptedSource([], fail), new ScriptedSource([], fail)];
    const follower = new FleetFollower(scope, replica, sources, { tickMs: 1 });
    follower.start();
    const status = await waitFor('both faults', async () => {
      const one = await follower.ask<FollowerStatus>((reply) => ({ type: 'status', reply }));
      return one.reason.match(/down/g)?.length === 2 ? one : undefined;
    });
    assert.equal(status.readiness, 'not-ready');
    const since = await replica.ask<{ isReady: boolean }>((reply) => ({
      type: 'since',
      offset: 0,
      waitMs: 1_000,
      reply,
    }));
    assert.equal(since.isReady, false);
    await follower.close();
    replica.close();
    scope.close();
  });

  // Guards against relying on a source whose snapshot the replica ignores because it is too old.
  it('treats a source with expired records and an old snapshot as unreachable', async (test) => {
    const scope = new ActorScope('test', () => {});
    const replica = new FleetReplica(scope);
    const entries = buildEntries(['{', '{', '{', '{', '{']);
    // Starts from a snapshot at offset 4 and reads up to 5. Then only a snapshot at 2 is available.
    const script: Behaviour[] = [{ do: 'read', max: 2 }, { do: 'expire' }, { do: 'read', max: 1 }];
    const source = new ScriptedSource(entries, script);
    const follower = new FleetFollower(scope, replica, [source], { tickMs: 1 });
    test.after(async () => {
      await follower.close();
      scope.close();
    });
    follower.start();
    const status = await waitFor('the expiry', async () => {
      const one = await follower.ask<FollowerStatus>((reply) => ({ type: 'status', reply }));
      return one.sources[0]?.fault.includes('expired') ? one : undefined;
    });
    assert.equal(status.sources[0]?.reachable, false);
  });
});
