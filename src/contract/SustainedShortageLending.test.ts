import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ConditionTimer } from '../clock/mod.js';
import { Pool } from '../pool/mod.js';
import { readSeed } from '../testing/mod.js';
import { computeLendingFloor } from './computeLendingFloor.js';
import { computeReturnable } from './computeReturnable.js';
import { computeShortage } from './computeShortage.js';
import { SustainedShortageLending } from './SustainedShortageLending.js';
import type { PoolSupply } from './LendingPolicy.js';

const STEP_MS = 5_000;
const LEND_AFTER_MS = 30_000;
const QUIET_MS = 700_000;

/** Hosts that an overload of one pool requires and hosts of it that fail, for a number of steps. */
interface Phase {
  pool: string;
  extra: number;
  failed: number;
  steps: number;
}

const POOLS = [
  { name: 'a', need: 4, headroom: 2, availabilityBudget: 2 },
  { name: 'b', need: 4, headroom: 1, availabilityBudget: 1 },
  { name: 'spare', need: 2, headroom: 6, availabilityBudget: 2, lends: true },
  { name: 'other', need: 1, headroom: 3, availabilityBudget: 1, lends: true },
].map((rules) => Pool.parse({ lendAfterSeconds: LEND_AFTER_MS / 1_000, ...rules }));

/** Applies the decisions of the policy to a set of pools; hosts move without delay. */
class Simulation {
  moves: { from: string; to: string; at: number; isVoluntaryReturn: boolean }[] = [];

  #now = 0;

  /** Hosts lent, by `owner/borrower`. */
  readonly #loans = new Map<string, number>();

  readonly #timer = new ConditionTimer();

  readonly #policy = new SustainedShortageLending();

  run({ pool, extra, failed, steps }: Phase): void {
    for (let step = 0; step < steps; step += 1) {
      this.#now += STEP_MS;
      const measured = POOLS.map((rules) => {
        const isAffected = rules.name === pool;
        const supply = this.describe(
          rules,
          isAffected ? { extra, failed } : { extra: 0, failed: 0 },
        );
        const { now, name } = { now: this.#now, name: rules.name };
        const holds = computeShortage(supply) > 0;
        const hasReturnable = computeReturnable(supply) > 0;
        return {
          ...supply,
          shortageMs: this.#timer.measure(`shortage/${name}`, { holds, now }),
          returnableMs: this.#timer.measure(`returnable/${name}`, { holds: hasReturnable, now }),
        };
      });
      const { loans, returns } = this.#policy.plan(measured);
      returns.forEach(({ from, to, count }) => {
        const isRecall = (measured.find((state) => state.pool.name === to)?.shortageMs ?? -1) >= 0;
        const isVoluntaryReturn = !isRecall;
        this.changeLoans(`${to}/${from}`, -count);
        this.moves.push({ from, to, at: this.#now, isVoluntaryReturn });
      });
      loans.forEach(({ from, to, count }) => {
        this.changeLoans(`${from}/${to}`, count);
        this.moves.push({ from, to, at: this.#now, isVoluntaryReturn: false });
        const rules = POOLS.find((owner) => owner.name === from) as Pool;
        const affected = from === pool ? { extra, failed } : { extra: 0, failed: 0 };
        const supply = this.describe(rules, affected);
        assert.ok(
          supply.retained - supply.failed >= computeLendingFloor(supply),
          `${from} lent too much`,
        );
      });
    }
  }

  describe(pool: Pool, { extra, failed }: { extra: number; failed: number }): PoolSupply {
    let lent = 0;
    const borrowed = new Map<string, number>();
    this.#loans.forEach((count, pair) => {
      const [owner = '', borrower] = pair.split('/');
      if (owner === pool.name) lent += count;
      if (borrower === pool.name && count > 0) borrowed.set(owner, count);
    });
    const loans = [...borrowed.values()].reduce((sum, count) => sum + count, 0);
    const retained = pool.need + pool.headroom - lent + loans;
    return { pool, retained, failed, incoming: 0, extra, lent, borrowed };
  }

  changeLoans(pair: string, by: number): void {
    const count = (this.#loans.get(pair) ?? 0) + by;
    assert.ok(count >= 0, `${pair} returned more than it borrowed`);
    this.#loans.set(pair, count);
  }

  countLoans(): number {
    return [...this.#loans.values()].reduce((sum, count) => sum + count, 0);
  }
}

function buildPhases(maxSteps: number): fc.Arbitrary<Phase[]> {
  return fc.array(
    fc.record({
      pool: fc.constantFrom(...POOLS.map(({ name }) => name)),
      extra: fc.nat({ max: 6 }),
      failed: fc.nat({ max: 4 }),
      steps: fc.integer({ min: 1, max: maxSteps }),
    }),
    { minLength: 1, maxLength: 40 },
  );
}

const OPTIONS = { seed: readSeed(), numRuns: 500 };

describe('SustainedShortageLending', () => {
  // Guards against moving hosts for a flood that ends before the hosts are in service.
  it('moves no hosts for floods and failures of a few seconds', () => {
    const shortPhases = buildPhases(LEND_AFTER_MS / STEP_MS - 1);
    fc.assert(
      fc.property(shortPhases, (phases) => {
        const simulation = new Simulation();
        phases.forEach((phase) => {
          simulation.run(phase);
          simulation.run({ pool: '', extra: 0, failed: 0, steps: 1 });
        });
        assert.deepEqual(simulation.moves, []);
      }),
      OPTIONS,
    );
  });

  // Guards against hosts that move back and forth, a lender that lends hosts it needs itself, and
  // loans that are never returned.
  it('lends only above need and budget, without flapping, and gets every loan returned', () => {
    let loans = 0;
    fc.assert(
      fc.property(buildPhases(200), (phases) => {
        const simulation = new Simulation();
        phases.forEach((phase) => simulation.run(phase));
        simulation.run({ pool: '', extra: 0, failed: 0, steps: QUIET_MS / STEP_MS });
        assert.equal(simulation.countLoans(), 0, 'loans that were not returned');
        const { moves } = simulation;
        loans += moves.length;
        moves.forEach((move, index) => {
          const before = moves
            .slice(0, index)
            .findLast((earlier) => earlier.from === move.to && earlier.to === move.from);
          if (before === undefined) return;
          const minimumMs = move.isVoluntaryReturn ? 600_000 : LEND_AFTER_MS;
          const what = `${before.from} to ${before.to} and back`;
          assert.ok(move.at - before.at >= minimumMs, `${what} in ${move.at - before.at} ms`);
        });
      }),
      OPTIONS,
    );
    assert.ok(loans > 1_000, `only ${loans} moves in all runs`);
  });
});
