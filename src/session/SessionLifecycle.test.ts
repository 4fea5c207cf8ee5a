import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { Fleet, type Verdict } from '../fleet/mod.js';
import { HostRelease, type RecordBody } from '../record/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { InMemoryFleetLog } from '../testing/mod.js';
import { PEER_TIMEOUT_MS, SessionLifecycle, type SessionAction } from './SessionLifecycle.js';
import { createSessionView } from './SessionView.js';

const START = 1_000_000_000;
const TICK_MS = 100;

/** A gateway whose session life cycle reads from and writes to an in-memory log. */
class LifecycleModel {
  readonly log = new InMemoryFleetLog(START);

  readonly lifecycle: SessionLifecycle;

  readonly #fleet = new Fleet();

  now = 0;

  #sessionCount = 0;

  /** The record that is planned but not appended yet. */
  #plannedRecord: RecordBody | undefined;

  constructor() {
    this.lifecycle = new SessionLifecycle({
      dataCentre: 'rennes-1',
      address: '127.0.0.1:1',
      peerAddress: '127.0.0.1:1',
      now: 0,
      createId: () => {
        this.#sessionCount += 1;
        return `own-${this.#sessionCount}`;
      },
    });
  }

  follow(): void {
    this.log.follow(this.#fleet);
    const { session } = this.lifecycle;
    const view = createSessionView(this.#fleet, { dataCentre: 'rennes-1', session });
    this.lifecycle.updateView(view, this.now);
  }

  plan(passedMs = TICK_MS): SessionAction[] {
    this.now += passedMs;
    this.log.now += passedMs;
    const actions = this.lifecycle.plan({ monotonic: this.now, wall: this.log.now });
    actions.forEach((action) => {
      if (action.type === 'append') this.#plannedRecord = action.body;
    });
    return actions;
  }

  /** Takes the planned record, as if its append were in flight. */
  takePlannedRecord(): RecordBody {
    if (this.#plannedRecord === undefined) this.plan();
    const body = this.#plannedRecord;
    assert.ok(body);
    this.#plannedRecord = undefined;
    return body;
  }

  /** Plans until a record is due, appends it, and passes the answer and a new view on. */
  append(): RecordBody | undefined {
    for (let tick = 0; tick < 40 && this.#plannedRecord === undefined; tick += 1) this.plan();
    const body = this.#plannedRecord;
    if (body === undefined) return undefined;
    this.#plannedRecord = undefined;
    const verdict = this.log.append(body);
    const offset = this.log.records.length - 1;
    this.lifecycle.finishAppend(body, { verdict, offset, revision: 0 }, this.now);
    this.follow();
    return body;
  }
}

/** Guards against sends without an open session, and against early and duplicate records. */
describe('SessionLifecycle', () => {
  let model: LifecycleModel;
  beforeEach(() => {
    model = new LifecycleModel();
    model.follow();
  });

  it('holds until the view has its own open record, not that of an earlier session', () => {
    model.plan();
    assert.equal(model.lifecycle.isHeld, true);
    model.log.openSession('own-1');
    const fleet = new Fleet();
    model.log.follow(fleet);
    const earlier = createSessionView(fleet, { dataCentre: 'rennes-1', session: 'own-1' });
    model.takePlannedRecord();
    // The open record of own-1 is rejected before the view shows that the session has ended.
    const body = { type: 'session-open', session: 'own-1', role: 'gateway' } as RecordBody;
    const verdict: Verdict = { outcome: 'rejected', reasons: ['has ended'] };
    assert.equal(model.lifecycle.finishAppend(body, { verdict, offset: 0, revision: 0 }, 0), true);
    model.lifecycle.updateView(earlier, 0);
    model.plan();
    assert.equal(model.lifecycle.isHeld, true);
    assert.equal(model.append()?.type, 'session-open');
    model.plan();
    assert.equal(model.lifecycle.isHeld, false);
  });

  it('holds after a pause until its view has reached the offset reported afterwards', () => {
    model.append();
    model.plan();
    assert.equal(model.lifecycle.isHeld, false);
    const actions = model.plan(1_500);
    assert.ok(actions.some((action) => action.type === 'refresh'));
    assert.equal(model.lifecycle.isHeld, true);
    model.log.openSession('other');
    model.lifecycle.setRefreshOffset(model.log.records.length);
    model.plan();
    assert.equal(model.lifecycle.isHeld, true);
    model.follow();
    model.plan();
    assert.equal(model.lifecycle.isHeld, false);
  });

  it('ends a silent peer after the timeout, but no peer because of its own pause', () => {
    model.append();
    model.log.openSession('zzz');
    model.follow();
    assert.equal(model.append()?.type, 'session-confirm');
    model.plan(PEER_TIMEOUT_MS * 2);
    model.lifecycle.setRefreshOffset(model.log.records.length);
    const from = model.now;
    const body = model.append();
    assert.deepEqual(body, { type: 'session-end', session: 'zzz', by: 'own-1' });
    assert.ok(model.now - from > PEER_TIMEOUT_MS - TICK_MS, `after ${model.now - from} ms`);
  });

  it('replaces its session when that was ended, and holds until the new one is open', () => {
    model.append();
    model.log.openSession('zzz');
    model.log.append({ type: 'session-end', session: 'own-1', by: 'zzz' });
    model.follow();
    assert.equal(model.lifecycle.session, 'own-2');
    model.plan();
    assert.equal(model.lifecycle.isHeld, true);
    const body = model.append();
    assert.equal(body?.type === 'session-open' && body.session, 'own-2');
  });

  it('decides again from the view when the answer to an append is lost', () => {
    const body = model.takePlannedRecord();
    model.log.append(body);
    model.lifecycle.finishAppend(body, undefined, model.now);
    assert.ok(!model.plan().some((action) => action.type === 'append'), 'no second record at once');
    model.follow();
    assert.notEqual(model.append()?.type, 'session-open');
    assert.equal(model.lifecycle.session, 'own-1');
  });

  it('holds when it stops, ends its session and opens no other', () => {
    model.append();
    model.lifecycle.stop();
    model.plan(0);
    assert.equal(model.lifecycle.isHeld, true);
    const body = { type: 'session-end', session: 'own-1', by: 'own-1' };
    assert.deepEqual(model.append(), body);
    assert.equal(model.lifecycle.isEnded, true);
    assert.equal(model.append(), undefined);
  });

  it('reports a host drained once no dispatcher that has seen the drain has work on it', () => {
    const host = { name: 'h1', dataCentre: 'rennes-1', rack: 'r1', address: '127.0.0.1:2' };
    const resources = { cores: 1, memoryGb: 1, accelerators: 0 };
    const dataCentre = { name: 'rennes-1', region: 'b' };
    const pool = Pool.parse({
      name: 'match',
      need: 1,
      availabilityBudget: 1,
      guardRackLoss: false,
    });
    const service = { name: 's', pathPrefix: '/s', pool: 'match' };
    model.log.change([
      { action: 'put', kind: 'dataCentre', object: dataCentre },
      { action: 'put', kind: 'host', object: { ...host, resources } },
      {
        action: 'put',
        kind: 'host',
        object: { ...host, name: 'h2', address: '127.0.0.1:3', resources },
      },
      { action: 'put', kind: 'pool', object: pool },
      { action: 'put', kind: 'service', object: Service.parse(service) },
    ]);
    model.follow();
    model.append();
    const load = (nextOffset: number, leaving: string[]): void =>
      model.lifecycle.updateLoad({ service: 's', nextOffset, leaving, isAboveShare: false });
    const assign: RecordBody = { type: 'host-assign', hosts: ['h1', 'h2'], pool: 'match' };
    assert.deepEqual(model.log.append(assign), { outcome: 'accepted' });
    const before = model.log.records.length;
    load(before, []);
    model.follow();
    model.append();
    const release = HostRelease.parse({ type: 'host-release', hosts: ['h1'] });
    assert.deepEqual(model.log.append(release), { outcome: 'accepted' });
    model.follow();
    assert.equal(model.append(), undefined);
    const drained = model.log.records.length;
    load(drained, ['h1']);
    assert.equal(model.append(), undefined);
    load(drained, []);
    const body = { type: 'host-drained', session: 'own-1', hosts: ['h1'], offset: drained };
    assert.deepEqual(model.append(), body);
    assert.equal(model.append(), undefined);
    assert.deepEqual(model.log.fleet.findHostState('h1')?.drainedBy, ['own-1']);
  });
});
