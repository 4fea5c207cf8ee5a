import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { Urgency } from '../job/mod.js';
import { readSeed } from '../testing/mod.js';
import { FairPolicy, URGENT_START_MS } from './FairPolicy.js';
import type { Ticket } from './AdmissionPolicy.js';

const seed = readSeed();
const URGENCIES = Urgency.options;
const SLOTS = 64;

function buildTicket(id: string, now: number, part: Partial<Ticket> = {}): Ticket {
  return { id, team: 'a', urgency: 'normal', arrivedAt: now, deadline: now + 60_000, ...part };
}

const step = fc.oneof(
  fc.record({
    kind: fc.constant('submit' as const),
    team: fc.constantFrom('a', 'b', 'unknown'),
    urgency: fc.constantFrom(...URGENCIES),
    timeoutMs: fc.integer({ min: 1, max: 5_000 }),
  }),
  fc.record({ kind: fc.constant('take' as const) }),
  fc.record({ kind: fc.constant('finish' as const), runMs: fc.integer({ min: 0, max: 3_000 }) }),
  fc.record({ kind: fc.constant('cancel' as const), nth: fc.nat(100) }),
  fc.record({ kind: fc.constant('slots' as const), slots: fc.nat(10) }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 1_500 }) }),
);

/** Guards against lost or doubled jobs, starts above the limit, and starts after the deadline. */
describe('the fair admission policy under any order of events', () => {
  it('accounts for each job once, within the limit, the bound and the deadlines', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const policy = new FairPolicy({ maxQueued: 4 });
        policy.setQuotas(
          new Map([
            ['a', 3],
            ['b', 1],
          ]),
        );
        const waiting = new Map<string, Ticket>();
        const running: string[] = [];
        let now = 0;
        steps.forEach((one, index) => {
          if (one.kind === 'submit') {
            const { team, urgency, timeoutMs } = one;
            const ticket = buildTicket(`j${index}`, now, {
              team,
              urgency,
              deadline: now + timeoutMs,
            });
            const answer = policy.submit(ticket, now);
            if (answer.admitted) {
              waiting.set(ticket.id, ticket);
              answer.displaced.forEach(({ id }) => {
                const victim = waiting.get(id);
                assert.ok(victim && waiting.delete(id));
                assert.ok(URGENCIES.indexOf(victim.urgency) >= URGENCIES.indexOf(urgency));
              });
            }
          } else if (one.kind === 'take') {
            const id = policy.take(now);
            if (id !== undefined) {
              const ticket = waiting.get(id);
              assert.ok(ticket && waiting.delete(id), 'taken twice or after its cancellation');
              assert.ok(now <= ticket.deadline);
              if (ticket.urgency === 'urgent') assert.ok(now <= ticket.arrivedAt + URGENT_START_MS);
              running.push(id);
              assert.ok(running.length <= policy.limit);
            }
          } else if (one.kind === 'finish') {
            const id = running.shift();
            if (id !== undefined) policy.finish(id, { ran: true, runMs: one.runMs });
          } else if (one.kind === 'cancel') {
            const id = [...waiting.keys()][one.nth % Math.max(1, waiting.size)];
            if (id !== undefined) assert.equal(policy.remove(id), waiting.delete(id));
          } else if (one.kind === 'slots') policy.setSlots(one.slots);
          else now += one.ms;
          policy.expire(now).forEach(({ id }) => assert.ok(waiting.delete(id)));
          assert.equal(policy.queued, waiting.size);
          assert.equal(policy.running, running.length);
          assert.ok(policy.queued <= 4);
        });
        // Whatever was admitted starts once there is room for it.
        policy.setSlots(1_000);
        for (let id = policy.take(now); id !== undefined; id = policy.take(now)) waiting.delete(id);
        policy.expire(now).forEach(({ id }) => waiting.delete(id));
        const left = [...waiting.values()].filter(({ urgency }) => urgency === 'urgent');
        assert.equal(left.length, 0);
      }),
      { seed, numRuns: 300 },
    );
  });

  it('orders the jobs of a team by their latest start', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 9_999 }), { maxLength: 60 }), (timeouts) => {
        const policy = new FairPolicy();
        policy.setSlots(100);
        const deadlines = timeouts.map((timeoutMs, index) => {
          policy.submit(buildTicket(String(index), 0, { deadline: timeoutMs }), 0);
          return timeoutMs;
        });
        const taken = timeouts.map(() => Number(policy.take(0))).filter(Number.isInteger);
        const order = taken.map((index) => deadlines[index] as number);
        assert.equal(taken.length, timeouts.length);
        assert.deepEqual(
          order,
          [...order].sort((a, b) => a - b),
        );
      }),
      { seed, numRuns: 100 },
    );
  });
});

/** Fills the policy, keeps it full for some starts and counts the starts by a property of the job. */
function countStarts(policy: FairPolicy, kinds: Partial<Ticket>[], starts: number): number[] {
  const counts = kinds.map(() => 0);
  let next = 0;
  const submit = (kind: number): void => {
    next += 1;
    policy.submit(buildTicket(`${kind}:${next}`, 0, { deadline: 1e9, ...kinds[kind] }), 0);
  };
  kinds.forEach((_, kind) => Array.from({ length: 50 }, () => submit(kind)));
  for (let done = 0; done < starts; done += 1) {
    const id = policy.take(0) as string;
    const kind = Number(id.split(':')[0]);
    counts[kind] = (counts[kind] ?? 0) + 1;
    policy.finish(id, { ran: true, runMs: 1 });
    submit(kind);
  }
  return counts;
}

/** Guards against starvation of less urgent work and of teams with a small quota. */
describe('shares of the fair admission policy', () => {
  it('gives batch and normal their shares under a flood of urgent work', () => {
    const policy = new FairPolicy();
    policy.setSlots(1);
    const kinds = URGENCIES.map((urgency) => ({ urgency }));
    const [urgent = 0, normal = 0, batch = 0] = countStarts(policy, kinds, 1_000);
    assert.ok(batch >= 178 && batch <= 190, `batch: ${batch}`);
    assert.ok(normal >= 390 && normal <= 420, `normal: ${normal}`);
    assert.ok(urgent >= 400, `urgent: ${urgent}`);
  });

  it('gives normal and batch their slots back from an urgent flood that took them all', () => {
    const policy = new FairPolicy();
    policy.setSlots(SLOTS);
    const submit = (urgency: Urgency, count: number): void =>
      Array.from({ length: count }, (_, job) => `${urgency}:${job}`).forEach((id) =>
        policy.submit(buildTicket(id, 0, { urgency, deadline: 1e9 }), 0),
      );
    submit('urgent', 3 * SLOTS);
    const first = Array.from({ length: SLOTS }, () => policy.take(0) as string);
    assert.ok(first.every((id) => id.startsWith('urgent')));
    submit('normal', SLOTS);
    submit('batch', SLOTS);
    first.forEach((id) => policy.finish(id, { ran: true, runMs: 1 }));
    const second = Array.from({ length: SLOTS }, () => policy.take(0) ?? '');
    const count = (urgency: Urgency): number =>
      second.filter((id) => id.startsWith(urgency)).length;
    assert.deepEqual(URGENCIES.map(count), [SLOTS - 25 - 11, 25, 11]);
  });

  it('divides starts by quota and lends the share of an idle team', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 9 }), (a, b) => {
        const policy = new FairPolicy();
        policy.setSlots(1);
        policy.setQuotas(
          new Map([
            ['a', a / 4],
            ['b', b / 4],
            ['idle', 100],
          ]),
        );
        const [first = 0] = countStarts(policy, [{ team: 'a' }, { team: 'b' }], 400);
        assert.ok(Math.abs(first - (400 * a) / (a + b)) <= 10, `${first} of 400 for ${a}:${b}`);
      }),
      { seed, numRuns: 50 },
    );
  });

  it('keeps a slot free of long batch jobs for urgent work', () => {
    const policy = new FairPolicy();
    policy.setSlots(8);
    for (let job = 0; job < 20; job += 1) {
      policy.submit(buildTicket(`b${job}`, 0, { urgency: 'batch' }), 0);
    }
    while (policy.take(0) !== undefined);
    assert.equal(policy.running, 7);
    policy.submit(buildTicket('u', 0, { urgency: 'urgent' }), 0);
    assert.equal(policy.take(0), 'u');
  });

  it('refuses a job whose deadline cannot be met by measured run times', () => {
    const policy = new FairPolicy();
    policy.setSlots(1);
    policy.submit(buildTicket('a', 0), 0);
    policy.finish(policy.take(0) as string, { ran: true, runMs: 100 });
    const refused = policy.submit(buildTicket('b', 0, { deadline: 50 }), 0);
    assert.deepEqual(refused, { admitted: false, reason: 'deadline', waitMs: 0 });
    assert.ok(policy.submit(buildTicket('c', 0, { deadline: 150 }), 0).admitted);
  });
});

const RUN_MS = 200;
const CALM_MS = 6_000;
const END_MS = 9_000;
const FLOODS = 20;
/** Arrivals a second at the mean load: 40% of what the slots can run. */
const MEAN: Record<Urgency, number> = { urgent: 25.6, normal: 76.8, batch: 25.6 };

/** Runs random arrivals with a flood of one urgency and lists the waits of the other jobs. */
function listWaits(flooded: Urgency, draw: () => number): number[] {
  const policy = new FairPolicy();
  policy.setSlots(SLOTS);
  const waits: number[] = [];
  const arrivals = new Map<string, { at: number; urgency: Urgency }>();
  let ends: { id: string; at: number }[] = [];
  for (let now = 0; now < END_MS; now += 1) {
    ends
      .filter(({ at }) => at <= now)
      .forEach(({ id }) => policy.finish(id, { ran: true, runMs: RUN_MS }));
    ends = ends.filter(({ at }) => at > now);
    URGENCIES.forEach((urgency) => {
      const factor = urgency === flooded && now >= CALM_MS ? 20 : 1;
      for (let due = (MEAN[urgency] * factor) / 1_000; draw() < due; due -= 1) {
        const id = `${urgency}:${now}:${due}`;
        arrivals.set(id, { at: now, urgency });
        policy.submit(buildTicket(id, now, { urgency, deadline: now + 2_000 }), now);
      }
    });
    for (let id = policy.take(now); id !== undefined; id = policy.take(now)) {
      const { at, urgency } = arrivals.get(id) as { at: number; urgency: Urgency };
      if (urgency !== flooded && now >= CALM_MS) waits.push(now - at);
      ends.push({ id, at: now + RUN_MS });
    }
    policy.expire(now);
  }
  return waits;
}

/** Guards against a flood of one urgency that makes the others wait for its running jobs. */
describe('a flood of one urgency', () => {
  URGENCIES.forEach((flooded) => {
    it(`of ${flooded} delays 99 of 100 other jobs by less than a fifth of their run time`, () => {
      let state = seed;
      const draw = (): number => {
        state = (state * 48_271) % 0x7fffffff;
        return state / 0x7fffffff;
      };
      const waits = Array.from({ length: FLOODS }, () => listWaits(flooded, draw)).flat();
      waits.sort((a, b) => a - b);
      const p99 = waits[Math.floor(0.99 * waits.length)] ?? Infinity;
      assert.ok(p99 < RUN_MS / 5, `${p99} ms`);
    });
  });
});
