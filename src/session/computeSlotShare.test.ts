import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { Fleet, RELEASE_DELAY_MS } from '../fleet/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { readSeed, InMemoryFleetLog } from '../testing/mod.js';
import { collectShareViews } from './collectShareViews.js';
import { computeSlotShare } from './computeSlotShare.js';

const JOB_MS = 30_000;
const START = 1_000_000_000;

interface Gateway {
  session: string;
  address: string;
  fleet: Fleet;
  /** How far its lower bound of the platform time is behind. */
  lagMs: number;
  /** Time at which another session ended it; infinite while it is open. */
  endedAt: number;
}

const Step = fc.record({
  action: fc.constantFrom(
    ...([
      'open',
      'follow',
      'follow',
      'confirm',
      'confirm',
      'stop',
      'end',
      'wait',
      'replace',
      'reopen',
      'restore',
    ] as const),
  ),
  gateway: fc.nat(20),
  other: fc.nat(20),
  amount: fc.nat(40),
});
type Step = typeof Step extends fc.Arbitrary<infer T> ? T : never;

class ShareModel {
  readonly log = new InMemoryFleetLog(START);

  gateways: Gateway[] = [];

  #opened = 0;

  constructor() {
    const names = { pool: 'match', name: 'match' };
    this.log.change([
      { action: 'put', kind: 'pool', object: Pool.parse({ name: 'match', need: 1 }) },
      {
        action: 'put',
        kind: 'service',
        object: Service.parse({ ...names, pathPrefix: '/match', jobTimeoutMs: JOB_MS }),
      },
    ]);
  }

  run({ action, gateway, other, amount }: Step): void {
    if (action === 'open') this.#open(amount);
    if (action === 'wait') this.log.now += amount * 2_000;
    const target = this.gateways[gateway % Math.max(1, this.gateways.length)];
    if (target === undefined) return;
    if (action === 'follow') this.log.follow(target.fleet, amount % 4);
    if (action === 'restore') target.fleet = Fleet.restore(target.fleet.snapshot());
    if (action === 'confirm' && target.fleet.nextOffset > 0) {
      const offset = target.fleet.nextOffset - 1;
      this.log.append({ type: 'session-confirm', session: target.session, offset });
    }
    if (action === 'replace') this.#replace(target, amount);
    if (action === 'reopen') this.#openAgain(target);
    if (action === 'stop') this.#closeSession(target, target);
    const by = this.gateways[other % this.gateways.length];
    if (action === 'end' && by !== undefined && by !== target) this.#closeSession(target, by);
  }

  /** Sums the shares of all sessions that may send: open, or ended by another and unaware of it. */
  computeSum(total: number): number {
    const { now } = this.log;
    this.gateways = this.gateways.filter(
      (gateway) => now <= gateway.endedAt + RELEASE_DELAY_MS + JOB_MS,
    );
    return this.gateways
      .map(({ fleet, session, lagMs }) =>
        computeSlotShare(collectShareViews(fleet, 'rennes-1', now - lagMs), {
          host: 'h1',
          session,
          total,
        }),
      )
      .reduce((sum, share) => sum + share, 0);
  }

  #open(amount: number): void {
    if (this.gateways.length >= 9) return;
    this.#opened += 1;
    this.#openAt(`127.0.0.1:${this.#opened}`, amount);
  }

  #openAt(address: string, amount: number): void {
    const session = `s${this.log.records.length}`;
    this.log.openSession(session, address);
    const lagMs = amount * 250;
    this.gateways.push({ session, address, fleet: new Fleet(), lagMs, endedAt: Infinity });
  }

  /** The process exits and another one starts at its address. */
  #replace(gateway: Gateway, amount: number): void {
    this.gateways = this.gateways.filter((other) => other.address !== gateway.address);
    this.#openAt(gateway.address, amount);
  }

  /** The process finds its session ended and opens another, which takes over its jobs in flight. */
  #openAgain(gateway: Gateway): void {
    if (gateway.endedAt === Infinity) return;
    const session = `s${this.log.records.length}`;
    this.log.openSession(session, gateway.address);
    Object.assign(gateway, { session, endedAt: Infinity });
  }

  #closeSession(gateway: Gateway, by: Gateway): void {
    const body = { type: 'session-end', session: gateway.session, by: by.session } as const;
    if (this.log.append(body).outcome !== 'accepted') return;
    if (gateway === by) this.gateways = this.gateways.filter((other) => other !== gateway);
    else Object.assign(gateway, { endedAt: this.log.now });
  }
}

describe('shares of a host', () => {
  it('never add up to more than its slots and connections over the sessions that may send', () => {
    let full = 0;
    fc.assert(
      fc.property(fc.array(Step, { maxLength: 120, size: 'max' }), (steps) => {
        const model = new ShareModel();
        steps.forEach((step) => {
          model.run(step);
          const sum = model.computeSum(8);
          if (sum === 8 && model.gateways.length > 1) full += 1;
          assert.ok(sum <= 8, `slots add up to ${sum}`);
          assert.ok(model.computeSum(64) <= 64, 'connections');
        });
      }),
      { seed: readSeed(), numRuns: 1_000 },
    );
    // Shares of zero for every session would pass the check of the sum.
    assert.ok(full > 500, `${full} states with several gateways used all slots`);
  });

  it('pass at once to a gateway that replaces a killed one', () => {
    const log = new InMemoryFleetLog(START);
    const address = '127.0.0.1:7201';
    log.openSession('a');
    log.openSession('b', address);
    const confirm = (session: string): void => {
      const offset = log.records.length - 1;
      log.append({ type: 'session-confirm', session, offset });
    };
    ['a', 'b'].forEach(confirm);
    log.append({ type: 'session-end', session: 'b', by: 'a' });
    log.openSession('c', address);
    ['a', 'c'].forEach(confirm);
    const views = collectShareViews(log.fleet, 'rennes-1', START);
    const shares = ['a', 'c'].map((session) =>
      computeSlotShare(views, { host: 'h1', session, total: 8 }),
    );
    assert.deepEqual(shares, [4, 4]);
  });

  it('add up to the total once every session has confirmed the view', () => {
    const log = new InMemoryFleetLog(START);
    ['a', 'b', 'c'].forEach((session) => log.openSession(session));
    ['a', 'b', 'c'].forEach((session) =>
      log.append({ type: 'session-confirm', session, offset: 2 }),
    );
    const views = collectShareViews(log.fleet, 'rennes-1', START);
    const shares = ['a', 'b', 'c'].map((session) =>
      computeSlotShare(views, { host: 'h1', session, total: 8 }),
    );
    assert.equal(
      shares.reduce((sum, share) => sum + share),
      8,
    );
  });
});
