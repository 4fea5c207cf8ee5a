import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import fc from 'fast-check';
import { ActorScope } from '../actor/mod.js';
import { ManualClock } from '../clock/mod.js';
import { FleetReplica } from '../fleet/mod.js';
import { LogWriter } from '../log/mod.js';
import { decodeRecord, type RecordBody } from '../record/mod.js';
import { buildEntries, readSeed, RecordingLogClient, waitFor } from '../testing/mod.js';
import { ControllerPeers } from './ControllerPeers.js';

/** Turns of the event loop that an actor needs to handle a tick and the answers to its probes. */
const EVENT_LOOP_TURNS = 12;
/** Consecutive missed probes after which rank 0 ends a session. */
const LOST_AFTER_MISSES = 15;

const scope = new ActorScope('test', (_actor, error) => {
  throw error;
});

async function waitTurns(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) await yieldToEventLoop();
}

/** Controllers with sessions `s0`, `s1`, ... opened in this order; ports identify the sessions. */
class Controllers {
  /** All instances, to close those of failed tests as well. */
  static readonly all: Controllers[] = [];

  readonly log = new RecordingLogClient();

  readonly clock = new ManualClock();

  readonly ranks: number[] = [];

  readonly probes: number[] = [];

  /** Session that answers at each address; undefined if the address does not answer. */
  readonly answering: (string | undefined)[];

  readonly peers: ControllerPeers[];

  readonly #replica = new FleetReplica(scope);

  #markers = 0;

  readonly #writer = new LogWriter(scope, { client: this.log });

  constructor(count: number, alive: boolean[] = [], opened = count) {
    Controllers.all.push(this);
    const names = Array.from({ length: count }, (_, index) => `s${index}`);
    this.answering = names.map((name, index) => ((alive[index] ?? true) ? name : undefined));
    const records = buildEntries(
      names.slice(0, opened).map((session, index) => ({
        type: 'session-open',
        session,
        role: 'controller',
        dataCentre: 'd1',
        address: `10.0.0.1:${index + 1}`,
        peerAddress: `10.0.0.1:${index + 1}`,
      })),
    )
      .map(decodeRecord)
      .filter((record) => record !== undefined);
    const range = { fromOffset: 0, nextOffset: opened, broken: 0 };
    const batch = { ...range, records, isComplete: true, contactAgeMs: 0 };
    this.#replica.send({ type: 'records', batch });
    this.peers = names.map((session, index) => this.#open(session, index));
  }

  async run(ticks: number): Promise<void> {
    for (let tick = 0; tick < ticks; tick += 1) {
      this.peers
        .filter((_, index) => this.answering[index] === `s${index}`)
        .forEach((peer) => peer.send({ type: 'tick' }));
      await waitTurns();
      // The writer holds a proposal back until the previous one has been applied.
      const sequence = Number.MAX_SAFE_INTEGER;
      this.#writer.send({ type: 'folded', sequence, nextOffset: 0 });
    }
  }

  /** Lists the ended sessions after everything proposed so far has been appended. */
  async listEnded(): Promise<string[]> {
    const marker: RecordBody = { type: 'host-observed', observations: [] };
    this.#writer.send({ type: 'append', body: marker });
    this.#markers += 1;
    await waitFor('the marker', () => {
      const markers = this.log.bodies.filter((body) => body.type === 'host-observed');
      return markers.length === this.#markers;
    });
    return this.log.bodies.flatMap((body) => (body.type === 'session-end' ? [body.session] : []));
  }

  async close(): Promise<void> {
    this.peers.forEach((peer) => peer.close());
    this.#writer.close();
    this.#replica.close();
    await this.log.close();
  }

  #open(session: string, index: number): ControllerPeers {
    return new ControllerPeers(scope, {
      replica: this.#replica,
      writer: this.#writer,
      clock: this.clock,
      session,
      dataCentre: 'd1',
      address: `10.0.0.1:${index + 1}`,
      onRank: (rank) => {
        this.ranks[index] = rank;
      },
      probe: async (address) => {
        this.probes[index] = (this.probes[index] ?? 0) + 1;
        const found = this.answering[Number(address.split(':')[1]) - 1];
        if (found === undefined) throw new Error('no answer');
        return found;
      },
    });
  }
}

describe('ControllerPeers', () => {
  after(async () => {
    await Promise.all(Controllers.all.map((controllers) => controllers.close()));
    scope.close();
  });

  // Guards against two controllers of equal rank, which propose at the same time, and against having
  // none of rank 0.
  it('ranks live controllers by age with a number of probes independent of their number', async () => {
    const alive = fc.array(fc.boolean(), { minLength: 1, maxLength: 9 });
    await fc.assert(
      fc.asyncProperty(alive, async (flags) => {
        fc.pre(flags.includes(true));
        const all = new Controllers(flags.length, flags);
        await waitTurns();
        await all.run(2 * flags.length + 2);
        const ranks = all.ranks.filter((_, index) => flags[index]);
        assert.equal(ranks[0], 0, 'the oldest live controller does not have rank 0');
        ranks.slice(1).forEach((rank, index) => assert.ok(rank > (ranks[index] ?? 0)));
        all.probes.length = 0;
        await all.run(1);
        const dead = flags.filter((isReachable) => !isReachable).length;
        all.probes.slice(flags.indexOf(true) + 1).forEach((sent) => {
          assert.ok(sent <= dead + 2, `${sent} probes with ${dead} unreachable controllers`);
        });
        await all.close();
      }),
      { seed: readSeed(), numRuns: 60 },
    );
  });

  it('ends a session after many missed probes or when another session answers at its address', async () => {
    const all = new Controllers(4);
    await all.run(1);
    all.answering[2] = undefined;
    await all.run(LOST_AFTER_MISSES - 1);
    assert.deepEqual(await all.listEnded(), []);
    all.answering[3] = 's9';
    await all.run(LOST_AFTER_MISSES);
    assert.deepEqual([...new Set(await all.listEnded())].sort(), ['s2', 's3']);
    assert.ok(all.log.bodies.every((body) => body.type !== 'session-end' || body.by === 's0'));
    await all.close();
  });

  // Guards against a controller that ends all other sessions after its own suspension, because the
  // probes that were in flight have timed out.
  it('ends no session after suspensions in which its probes timed out', async () => {
    const all = new Controllers(4);
    await all.run(3);
    const { answering } = all;
    for (let count = 0; count <= LOST_AFTER_MISSES; count += 1) {
      // Probes that were in flight at the suspension have timed out when the controller resumes.
      const before = answering.splice(1, 3, undefined, undefined, undefined);
      await all.run(1);
      answering.splice(1, 3, ...before);
      all.clock.advance(3_600_000);
      await all.run(3);
    }
    assert.equal(all.ranks[0], 0);
    assert.deepEqual(await all.listEnded(), []);
    await all.close();
  });

  it('opens its own session if the log does not contain it', async () => {
    const missing = new Controllers(1, [true], 0);
    await missing.run(2);
    await waitFor('the opening', () => missing.log.bodies.length > 0);
    const sessions = missing.log.bodies.map((body) => body.type === 'session-open' && body.session);
    assert.deepEqual(sessions, ['s0']);
    await missing.close();
  });
});
