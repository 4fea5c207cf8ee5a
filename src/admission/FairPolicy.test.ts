import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { Urgency } from '../job/mod.js';
import { readSeed } from '../testing/mod.js';
import { FairPolicy, URGENT_START_TIMEOUT_MS } from './FairPolicy.js';
import type { AdmissionRequest } from './AdmissionPolicy.js';

const seed = readSeed();
const URGENCIES = Urgency.options;
const SLOTS = 64;

function buildRequest(
  id: string,
  now: number,
  part: Partial<AdmissionRequest> = {},
): AdmissionRequest {
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

/**
 * Guards against lost or duplicated jobs, starts above the limit, and starts after the deadline.
 */
describe('FairPolicy under any order of events', () => {
  it('accounts for each job once and respects the limit, the queue bound and the deadlines', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const policy = new FairPolicy({ maxQueued: 4 });
        policy.setQuotas(
          new Map([
            ['a', 3],
            ['b', 1],
          ]),
        );
        const waiting = new Map<string, AdmissionRequest>();
        const running: string[] = [];
        let now = 0;
        steps.forEach((event, index) => {
          if (event.kind === 'submit') {
            const { team, urgency, timeoutMs } = event;
            const request = buildRequest(`j${index}`, now, {
              team,
              urgency,
              deadline: now + timeoutMs,
            });
            const answer = policy.submit(request, now);
            if (answer.admitted) {
              waiting.set(request.id, request);
              answer.displaced.forEach(({ id }) => {
                const victim = waiting.get(id);
                assert.ok(victim && waiting.delete(id));
                assert.ok(URGENCIES.indexOf(victim.urgency) >= URGENCIES.indexOf(urgency));
              });
            }
          } else if (event.kind === 'take') {
            const id = policy.take(now);
            if (id !== undefined) {
              const request = waiting.get(id);
              assert.ok(request && waiting.delete(id), 'taken twice or after its cancellation');
              assert.ok(now <= request.deadline);
              if (request.urgency === 'urgent')
                assert.ok(now <= request.arrivedAt + URGENT_START_TIMEOUT_MS);
              running.push(id);
              assert.ok(running.length <= policy.limit);
            }
          } else if (event.kind === 'finish') {
            const id = running.shift();
            if (id !== undefined) policy.finish(id, { ran: true, runMs: event.runMs });
          } else if (event.kind === 'cancel') {
            const id = [...waiting.keys()][event.nth % Math.max(1, waiting.size)];
            if (id !== undefined) assert.equal(policy.remove(id), waiting.delete(id));
          } else if (event.kind === 'slots') policy.setSlots(event.slots);
          else now += event.ms;
          policy.expire(now).forEach(({ id }) => assert.ok(waiting.delete(id)));
          assert.equal(policy.queued, waiting.size);
          assert.equal(policy.running, running.length);
          assert.ok(policy.queued <= 4);
        });
        // Every admitted job starts once there are enough slots.
        policy.setSlots(1_000);
        for (let id = policy.take(now); id !== undefined; id = policy.take(now)) waiting.delete(id);
        policy.expire(now).forEach(({ id }) => waiting.delete(id));
        const left = [...waiting.values()].filter(({ urgency }) => urgency === 'urgent');
        assert.equal(left.length, 0);
      }),
      { seed, numRuns: 300 },
    );
  });

  it('starts the jobs of a team in the order of their latest start', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 9_999 }), { maxLength: 60 }), (timeouts) => {
        const policy = new FairPolicy();
        policy.setSlots(100);
        const deadlines = timeouts.map((timeoutMs, index) => {
          policy.submit(buildRequest(String(index), 0, { deadline: timeoutMs }), 0);
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

/** Keeps the queues filled for a number of starts and counts the starts of each kind of job. */
function countStarts(
  policy: FairPolicy,
  kinds: Partial<AdmissionRequest>[],
  starts: number,
): number[] {
  const counts = kinds.map(() => 0);
  let next = 0;
  const submit = (kind: number): void => {
    next += 1;
    policy.submit(buildRequest(`${kind}:${next}`, 0, { deadline: 1e9, ...kinds[kind] }), 0);
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

/** Guards against starvation of less urgent jobs and of teams with a small quota. */
describe('FairPolicy shares', () => {
  it('gives batch and normal jobs their shares during a flood of urgent jobs', () => {
    const policy = new FairPolicy();
    policy.setSlots(1);
    const kinds = URGENCIES.map((urgency) => ({ urgency }));
    const [urgent = 0, normal = 0, batch = 0] = countStarts(policy, kinds, 1_000);
    assert.ok(batch >= 178 && batch <= 190, `batch: ${batch}`);
    assert.ok(normal >= 390 && normal <= 420, `normal: ${normal}`);
    assert.ok(urgent >= 400, `urgent: ${urgent}`);
  });

  it('returns slots to normal and batch jobs after an urgent flood has occupied all of them', () => {
    const policy = new FairPolicy();
    policy.setSlots(SLOTS);
    const submit = (urgency: Urgency, count: number): void =>
      Array.from({ length: count }, (_, job) => `${urgency}:${job}`).forEach((id) =>
        policy.submit(buildRequest(id, 0, { urgency, deadline: 1e9 }), 0),
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

  it('divides starts by quota and lets other teams use the share of an idle team', () => {
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

  it('reserves a slot for urgent jobs while long batch jobs run', () => {
    const policy = new FairPolicy();
    policy.setSlots(8);
    for (let job = 0; job < 20; job += 1) {
      policy.submit(buildRequest(`b${job}`, 0, { urgency: 'batch' }), 0);
    }
    while (policy.take(0) !== undefined);
    assert.equal(policy.running, 7);
    policy.submit(buildRequest('u', 0, { urgency: 'urgent' }), 0);
    assert.equal(policy.take(0), 'u');
  });

  it('refuses a job whose deadline cannot be met by measured run times', () => {
    const policy = new FairPolicy();
    policy.setSlots(1);
    policy.submit(buildRequest('a', 0), 0);
    policy.finish(policy.take(0) as string, { ran: true, runMs: 100 });
    const refused = policy.submit(buildRequest('b', 0, { deadline: 50 }), 0);
    assert.deepEqual(refused, { admitted: false, reason: 'deadline', waitMs: 0 });
    assert.ok(policy.submit(buildRequest('c', 0, { deadline: 150 }), 0).admitted);
  });
});

const RUN_MS = 200;
const FLOOD_START_MS = 6_000;
const END_MS = 9_000;
const FLOODS = 20;
/** Arrivals per second at the mean load, which is 40% of the capacity of the slots. */
const MEAN_ARRIVALS_PER_SECOND: Record<Urgency, number> = {
  urgent: 25.6,
  normal: 76.8,
  batch: 25.6,
};

/**
 * Simulates random arrivals with a flood of one urgency and returns the waits of the other jobs.
 */
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
      const factor = urgency === flooded && now >= FLOOD_START_MS ? 20 : 1;
      for (let due = (MEAN_ARRIVALS_PER_SECOND[urgency] * factor) / 1_000; draw() < due; due -= 1) {
        const id = `${urgency}:${now}:${due}`;
        arrivals.set(id, { at: now, urgency });
        policy.submit(buildRequest(id, now, { urgency, deadline: now + 2_000 }), now);
      }
    });
    for (let id = policy.take(now); id !== undefined; id = policy.take(now)) {
      const { at, urgency } = arrivals.get(id) as { at: number; urgency: Urgency };
      if (urgency !== flooded && now >= FLOOD_START_MS) waits.push(now - at);
      ends.push({ id, at: now + RUN_MS });
    }
    policy.expire(now);
  }
  return waits;
}

/** Guards against a flood of one urgency that makes other jobs wait until its running jobs end. */
describe('FairPolicy during a flood of one urgency', () => {
  URGENCIES.forEach((flooded) => {
    it(`delays 99 of 100 other jobs by less than a fifth of their run time: ${flooded}`, () => {
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
