import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { chooseNextStep, MAX_ATTEMPTS } from './chooseNextStep.js';
import { BASE_EJECTION_MS } from './HostHealth.js';
import { HostRotation } from './HostRotation.js';
import { RunEnd, type RunResult } from './RunResult.js';
import { RetryBudget } from '../admission/mod.js';
import { readSeed } from '../testing/mod.js';

const seed = readSeed();

/**
 * Generates consistent results: a response implies that bytes were sent, a refusal that none were.
 */
const run = fc
  .record({ end: fc.constantFrom(...RunEnd.options), begun: fc.boolean(), cut: fc.boolean() })
  .map(({ end, begun, cut }): RunResult => {
    const sent =
      ['answered', 'withheld', 'failed'].includes(end) ||
      (['timeout', 'abandoned'].includes(end) && cut);
    const hasBegun = end === 'answered' || (sent && end !== 'withheld' && begun);
    return { host: 'h', end, sent, begun: hasBegun, leaving: false, runMs: 1 };
  });

/** Guards against a second run of a non-idempotent job and a wrong `not-run` outcome. */
describe('chooseNextStep', () => {
  it('agrees with an oracle that sees every byte', () => {
    fc.assert(
      fc.property(
        fc.array(run, { minLength: 5, maxLength: 5 }),
        fc.boolean(),
        fc.array(fc.boolean(), { minLength: 5, maxLength: 5 }),
        (runs, idempotent, budget) => {
          let sends = 0;
          let sentBefore = false;
          for (let index = 0; index < runs.length; index += 1) {
            const result = runs[index] as RunResult;
            if (result.sent) sends += 1;
            const hasBudget = budget[index] as boolean;
            const step = chooseNextStep(result, {
              idempotent,
              attempts: index + 1,
              wasSentEarlier: sentBefore,
              hasBudget,
              hasUntriedHost: true,
              remainingMs: 10,
            });
            sentBefore ||= result.sent;
            if (step.next === 'retry') {
              assert.ok(!result.begun, 'a part of an answer was passed on');
              assert.ok(hasBudget && index + 1 < MAX_ATTEMPTS);
              assert.ok(result.end !== 'answered' && result.end !== 'abandoned');
              continue;
            }
            assert.ok(idempotent || sends <= 1, `sent ${sends} times`);
            assert.equal(step.outcome === 'not-run', sends === 0);
            assert.equal(step.outcome === 'ran', result.end === 'answered');
            if (step.next === 'problem') assert.ok(!result.begun);
            return;
          }
          assert.fail('retried without end');
        },
      ),
      { seed, numRuns: 1_000 },
    );
  });

  it('keeps retries within a tenth of the recent jobs', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 300 }), (gaps) => {
        const budget = new RetryBudget();
        const jobs: number[] = [];
        const retries: number[] = [];
        let now = 0;
        gaps.forEach((gap) => {
          now += gap;
          budget.recordJob(now);
          jobs.push(now);
          if (budget.takeRetry(now)) retries.push(now);
          const count = (times: number[]) => times.filter((at) => at > now - 9_000).length;
          const all = jobs.filter((at) => at > now - 10_000).length;
          assert.ok(count(retries) <= 0.1 * all, `${count(retries)} retries of ${all} jobs`);
        });
      }),
      { seed, numRuns: 100 },
    );
  });
});

const rotationStep = fc.oneof(
  fc.record({ kind: fc.constant('take' as const) }),
  fc.record({
    kind: fc.constant('finish' as const),
    sign: fc.constantFrom('good' as const, 'bad' as const, 'refused' as const, 'neutral' as const),
  }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 3_000 }) }),
  fc.record({
    kind: fc.constant('share' as const),
    slots: fc.nat(4),
    connections: fc.nat(4),
    count: fc.integer({ min: 1, max: 6 }),
  }),
);

/** Guards against exceeded shares, too many ejected hosts, and more than one probe at a time. */
describe('HostRotation', () => {
  it('keeps within shares, ejects at most half and probes once', () => {
    fc.assert(
      fc.property(fc.array(rotationStep, { maxLength: 200 }), (steps) => {
        const rotation = new HostRotation();
        const taken: { host: string; isProbe: boolean }[] = [];
        const out = new Set<string>();
        let shares = new Map<string, number>();
        let now = 0;
        steps.forEach((step) => {
          if (step.kind === 'pass') now += step.ms;
          else if (step.kind === 'share') {
            const { slots, connections, count } = step;
            const hosts = Array.from({ length: count }, (_, index) => ({
              host: `h${index}`,
              address: `127.0.0.1:${index}`,
              slots,
              connections,
            }));
            shares = new Map(hosts.map(({ host }) => [host, Math.min(slots, connections)]));
            rotation.setHosts(hosts);
            // When the view shrinks, more than half of its hosts may already be ejected.
            out.clear();
          } else if (step.kind === 'take') {
            const slot = rotation.takeSlot(now);
            if (slot === undefined) return;
            taken.push(slot);
            const running = taken.filter(({ host }) => host === slot.host);
            assert.ok(
              running.length <= (shares.get(slot.host) ?? 0),
              `above share on ${slot.host}`,
            );
            assert.ok(running.filter(({ isProbe }) => isProbe).length <= 1, 'two probes');
            if (out.has(slot.host)) assert.ok(slot.isProbe);
          } else {
            const slot = taken.shift();
            if (slot === undefined) return;
            const turn = rotation.releaseSlot(slot, { signal: step.sign, now });
            if (turn === 'out') {
              out.add(slot.host);
              assert.ok(out.size <= shares.size / 2, `${out.size} of ${shares.size} ejected`);
            }
            if (turn === 'back') out.delete(slot.host);
            if (step.sign === 'neutral') assert.equal(turn, undefined);
          }
        });
      }),
      { seed, numRuns: 500 },
    );
  });

  it('sends exactly one probe after the ejection time, whatever run ends meanwhile', () => {
    const rotation = new HostRotation();
    rotation.setHosts(
      ['a', 'b'].map((host) => ({ host, address: '127.0.0.1:1', slots: 9, connections: 9 })),
    );
    const early = [rotation.takeSlot(0), rotation.takeSlot(0)].find((slot) => slot?.host === 'a');
    const failed = { host: 'a', isProbe: false };
    assert.ok(early);
    assert.equal(rotation.releaseSlot(failed, { signal: 'refused', now: 0 }), 'out');
    const later = Array.from({ length: 8 }, () => rotation.takeSlot(BASE_EJECTION_MS));
    assert.equal(later.filter((slot) => slot?.host === 'a').length, 1);
    assert.equal(rotation.releaseSlot(early, { signal: 'good', now: BASE_EJECTION_MS }), undefined);
    const probe = later.find((slot) => slot?.isProbe);
    assert.ok(probe);
    assert.equal(rotation.releaseSlot(probe, { signal: 'good', now: BASE_EJECTION_MS }), 'back');
  });
});
