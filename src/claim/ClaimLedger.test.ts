import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { CLOCK_SKEW_MS, Fleet, KEY_MAX_AGE_MS } from '../fleet/mod.js';
import { createSessionView } from '../session/mod.js';
import { readSeed, InMemoryFleetLog } from '../testing/mod.js';
import type { ClaimAnswer } from './ClaimAnswer.js';
import type { ClaimCursor } from './ClaimChunk.js';
import { ClaimLedger, type PendingClaim } from './ClaimLedger.js';
import type { MemberAnswer } from './ClaimRequest.js';
import { ClaimTable } from './ClaimTable.js';

const START = Date.UTC(2026, 0, 1);
const DATA_CENTRE = 'rennes-1';
const MAX_GATEWAYS = 4;

function buildKey(createdAt: number, number: number): string {
  const time = createdAt.toString(16).padStart(12, '0');
  const tail = number.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

/** A gateway process, whose clock differs by a fixed amount of at most `CLOCK_SKEW_MS`. */
interface Gateway {
  session: string;
  fleet: Fleet;
  ledger: ClaimLedger;
  skewMs: number;
  transfer: { from: Gateway; cursor: ClaimCursor; coveredFrom: number } | undefined;
  isReady: boolean;
  isStopped: boolean;
}

interface Round {
  gateway: Gateway;
  pending: PendingClaim;
  answers: (MemberAnswer | undefined)[];
}

interface InFlightRequest {
  round: Round;
  member: number;
  to: Gateway;
}

const ACTIONS =
  'open open key key submit submit submit submit submit end stop kill wait deliver deliver ' +
  'deliver flush flush flush flush finish follow follow confirm confirm handOver handOver ' +
  'sync fail fail replace followAll followAll';

const Step = fc.record({
  action: fc.constantFrom(...ACTIONS.split(' ')),
  gateway: fc.nat(20),
  other: fc.nat(20),
  amount: fc.nat(40),
});
type Step = typeof Step extends fc.Arbitrary<infer T> ? T : never;

/**
 * Model of several gateways with a log and a network that loses, delays and duplicates messages. A
 * gateway that is not selected for a while acts as a suspended one. A killed gateway loses its
 * claims.
 */
class ClaimModel {
  readonly log = new InMemoryFleetLog(START);

  readonly runs = new Map<string, number>();

  granted = 0;

  refused = 0;

  #gateways: Gateway[] = [];

  #keys: string[] = [];

  #rounds: Round[] = [];

  #network: InFlightRequest[] = [];

  #opened = 0;

  constructor() {
    const object = { name: DATA_CENTRE, region: 'brittany' };
    this.log.change([{ action: 'put', kind: 'dataCentre', object }]);
    this.#open(0);
    this.#open(2);
    this.log.now += 60_000;
    this.#gateways.forEach((gateway) => this.#updateAndCopy(gateway));
    this.#createKey(1);
  }

  run(step: Step): void {
    const { action, amount } = step;
    if (action === 'wait') this.log.now += amount > 36 ? (amount - 30) * 60_000 : amount * 400;
    if (action === 'open') this.#open(amount);
    if (action === 'key') this.#createKey(amount);
    if (action === 'deliver') this.#receive(step);
    if (action === 'flush') this.#receiveAll(step);
    if (action === 'finish') this.#finish(this.#rounds[step.other % this.#rounds.length]);
    const gateway = this.#gateways[step.gateway % Math.max(1, this.#gateways.length)];
    if (gateway === undefined) return;
    if (action === 'submit') this.#submit(gateway, this.#keys[amount % this.#keys.length]);
    if (action === 'follow') this.#follow(gateway, amount % 4);
    if (action === 'confirm') this.#confirm(gateway);
    if (action === 'kill' && amount % 2 > 0)
      this.#gateways = this.#gateways.filter((other) => other !== gateway);
    if (action === 'stop' && amount % 2 > 0) this.#stop(gateway);
    if (action === 'end') this.#closeSession(gateway, step);
    if (action === 'handOver') this.#copyPart(gateway, step.other);
    if (action === 'sync') this.#updateAndCopy(gateway);
    if (action === 'fail') this.#failGateway(gateway, step);
    if (action === 'replace') this.#replaceAll(step);
    if (action === 'followAll') this.#followAll(this.#gateways, amount % 2 > 0);
  }

  #readWall(gateway: Gateway): number {
    return this.log.now + gateway.skewMs;
  }

  #open(amount: number): void {
    if (this.#gateways.length >= MAX_GATEWAYS) return;
    this.#opened += 1;
    const session = `s${this.#opened}`;
    this.log.openSession(session);
    const fleet = new Fleet();
    const ledger = new ClaimLedger(new ClaimTable(1_000));
    const skewMs = ((amount % 3) - 1) * CLOCK_SKEW_MS;
    const transfer = undefined;
    const gateway = { session, fleet, ledger, skewMs, transfer, isReady: false, isStopped: false };
    this.#gateways.push(gateway);
    this.#follow(gateway, Infinity);
  }

  #createKey(amount: number): void {
    // The caller's clock differs as well, and the caller may use a key some time after creating it.
    const createdAt = this.log.now + CLOCK_SKEW_MS * 2 - (amount % 7) * 4_000;
    this.#keys = [...this.#keys, buildKey(createdAt, this.#keys.length)].slice(-4);
  }

  #follow(gateway: Gateway, count: number): void {
    this.log.follow(gateway.fleet, count);
    const { session } = gateway;
    gateway.ledger.updateView(
      createSessionView(gateway.fleet, { dataCentre: DATA_CENTRE, session }),
    );
  }

  #confirm(gateway: Gateway): void {
    const { session } = gateway;
    const offset = gateway.fleet.nextOffset - 1;
    this.log.append({ type: 'session-confirm', session, offset });
  }

  #stop(gateway: Gateway): void {
    Object.assign(gateway, { isStopped: true });
    gateway.ledger.setHeld(true);
    const { session } = gateway;
    this.log.append({ type: 'session-end', session, by: session });
    this.#gateways = this.#gateways.filter((other) => other !== gateway);
  }

  #closeSession(by: Gateway, { other }: Step): void {
    // Sessions of killed processes can be ended too, so they are taken from the log's state.
    const members = this.log.fleet.listGateways(DATA_CENTRE);
    const victim = members[other % Math.max(1, members.length)]?.session;
    if (victim === undefined || victim === by.session) return;
    this.log.append({ type: 'session-end', session: victim, by: by.session });
  }

  #submit(gateway: Gateway, key: string | undefined): void {
    if (key === undefined) return;
    const options = { isForwarded: false, now: this.#readWall(gateway) };
    let owner: Gateway | undefined = gateway;
    let opened = gateway.ledger.openClaim(key, options);
    if (opened.verdict === 'forward') {
      const { session } = opened;
      owner = this.#gateways.find((other) => other.session === session);
      if (owner === undefined) return;
      opened = owner.ledger.openClaim(key, { isForwarded: true, now: this.#readWall(owner) });
      assert.notEqual(opened.verdict, 'forward', 'a job is forwarded once');
    }
    if (opened.verdict !== 'pending') {
      this.refused += 1;
      return;
    }
    const round: Round = { gateway: owner, pending: opened, answers: [] };
    this.#rounds = [...this.#rounds, round].slice(-6);
    opened.members.forEach(({ session }, member) => {
      const to = this.#gateways.find((other) => other.session === session);
      if (to !== undefined) this.#network.push({ round, member, to });
    });
  }

  /** Delivers one claim, in any order. It may stay in the network and be delivered again. */
  #receive({ other, amount }: Step): void {
    const index = other % Math.max(1, this.#network.length);
    const message = this.#network[index];
    if (message === undefined) return;
    if (amount % 4 > 0) this.#network.splice(index, 1);
    this.#answer(message, amount % 5 === 0);
  }

  #answer({ round, member, to }: InFlightRequest, isLost: boolean): void {
    if (!this.#gateways.includes(to)) return;
    const { pending } = round;
    const request = { owner: pending.session, member: to.session, view: pending.view };
    const answer = to.ledger.recordClaim(request, pending.key.text, this.#readWall(to));
    const { answers } = round;
    if (!isLost) answers[member] = answer;
  }

  /** Delivers all claims of a round without loss and finishes the round. */
  #receiveAll({ other }: Step): void {
    const round = this.#rounds[other % Math.max(1, this.#rounds.length)];
    if (round === undefined) return;
    this.#network
      .filter((message) => message.round === round)
      .forEach((message) => this.#answer(message, false));
    this.#network = this.#network.filter((message) => message.round !== round);
    this.#finish(round);
  }

  #finish(round: Round | undefined): void {
    if (round === undefined) return;
    this.#rounds = this.#rounds.filter((other) => other !== round);
    const { gateway, pending, answers } = round;
    if (!this.#gateways.includes(gateway)) return;
    const all = pending.members.map((_peer, index) => answers[index]);
    const answer: ClaimAnswer = gateway.ledger.finishClaim(pending, all, this.#readWall(gateway));
    if (answer.verdict !== 'granted') return;
    this.granted += 1;
    const key = pending.key.text;
    if (this.granted % 5 === 0) {
      gateway.ledger.recordOutcome(key, 'not-run');
      return;
    }
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    assert.equal(this.runs.get(key), 1, `key ${key} ran again`);
    if (this.granted % 2 === 0) gateway.ledger.recordOutcome(key, 'ran');
  }

  /** Transfers one small part of a table, so that other steps can happen between two parts. */
  #copyPart(gateway: Gateway, other: number): void {
    if (gateway.isReady) return;
    const from = gateway.transfer?.from ?? this.#gateways[other % this.#gateways.length];
    if (from === undefined || from === gateway || !this.#gateways.includes(from)) {
      Object.assign(gateway, { transfer: undefined });
      return;
    }
    const cursor = gateway.transfer?.cursor ?? { hour: -1, index: 0 };
    const part = from.ledger.readHandOver(gateway.session, cursor, 2);
    if (part === undefined || !gateway.ledger.table.mergeChunk(part.chunk)) return;
    const coveredFrom = Math.max(gateway.transfer?.coveredFrom ?? -Infinity, part.coveredFrom);
    if (part.chunk.next !== null) {
      Object.assign(gateway, { transfer: { from, cursor: part.chunk.next, coveredFrom } });
      return;
    }
    gateway.ledger.finishHandOver(gateway.session, coveredFrom);
    Object.assign(gateway, { isReady: true });
  }

  /** Kills or suspends a gateway, ends its session by a survivor, and updates the others. */
  #failGateway(victim: Gateway, { other, amount }: Step): void {
    const rest = this.#gateways.filter((gateway) => gateway !== victim);
    const by = rest[other % Math.max(1, rest.length)];
    if (by === undefined) return;
    this.log.append({ type: 'session-end', session: victim.session, by: by.session });
    if (amount % 3 === 0) this.#gateways = rest;
    this.log.now += (amount % 4) * 5_000;
    this.#followAll(rest, amount % 2 > 0);
  }

  /** Opens a gateway that reaches none of the others and ends them; they may still be alive. */
  #replaceAll({ amount }: Step): void {
    const old = this.#gateways;
    this.#gateways = amount % 4 === 0 ? [] : old.slice(0, MAX_GATEWAYS - 1);
    this.#open(amount);
    const by = this.#gateways.at(-1);
    old.forEach(({ session }) => {
      this.log.append({ type: 'session-end', session, by: by?.session ?? '' });
    });
    this.log.now += (amount % 5) * 5_000;
    if (by) this.#followAll([by], false);
  }

  #followAll(gateways: Gateway[], isHandedOver: boolean): void {
    gateways.forEach((gateway) => this.#follow(gateway, Infinity));
    gateways.forEach((gateway) => this.#confirm(gateway));
    gateways.forEach((gateway) => this.#follow(gateway, Infinity));
    if (!isHandedOver) return;
    gateways.forEach((gateway, index) => this.#copyPart(gateway, index + 1));
  }

  /** Brings all gateways up to date and transfers a part of a table to the given one. */
  #updateAndCopy(gateway: Gateway): void {
    this.#followAll(this.#gateways, false);
    this.#copyPart(gateway, this.#gateways.indexOf(gateway) + 1);
  }
}

describe('claims of several gateways', () => {
  it('run a key at most once despite lost, late and duplicated messages, kills and pauses', () => {
    let granted = 0;
    let refused = 0;
    fc.assert(
      fc.property(fc.array(Step, { maxLength: 250, size: 'max' }), (steps) => {
        const model = new ClaimModel();
        steps.forEach((step) => model.run(step));
        granted += model.granted;
        refused += model.refused;
      }),
      { seed: readSeed(), numRuns: Number(process.env.FC_RUNS ?? 1_500) },
    );
    // A ledger that grants nothing would pass the check of runs per key.
    assert.ok(granted > 400, `${granted} claims granted, ${refused} refused`);
    if (process.env.FC_RUNS) process.stdout.write(`${granted} granted ${refused} refused\n`);
  });

  it('refuse keys from the future, keys older than 24 h and texts that are not a UUIDv7', () => {
    const ledger = new ClaimLedger(new ClaimTable(10));
    const open = (key: string): ClaimAnswer | PendingClaim =>
      ledger.openClaim(key, { isForwarded: false, now: START });
    const future = open(buildKey(START + CLOCK_SKEW_MS + 1, 1));
    assert.deepEqual([future.verdict, 'status' in future && future.status], ['refused', 400]);
    const old = open(buildKey(START - KEY_MAX_AGE_MS - 1, 1));
    assert.equal('outcome' in old && old.outcome, 'unknown');
    const word = open('order-17');
    assert.equal('outcome' in word && word.outcome, 'not-run');
  });
});
