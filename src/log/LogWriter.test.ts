/* eslint-disable max-classes-per-file -- the stand-ins of one test. */
/* eslint-disable n/no-unsupported-features/node-builtins -- Node.js 20 has the mocked timers as an
   experimental feature; with real ones each of 300 runs would take seconds. */
import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { setImmediate as yieldTurn } from 'node:timers/promises';
import fc from 'fast-check';
import { ActorScope } from '../actor/mod.js';
import { RecordEnvelope, type RecordBody } from '../record/mod.js';
import { readSeed } from '../testing/mod.js';
import { LogClient, type ReadResult } from './LogClient.js';
import { LogWriter, type SubmitAnswer } from './LogWriter.js';

/** What happens to an append; a slow one has its effect at once and its answer later, if at all. */
type Fate = 'done' | 'lost' | 'failed' | 'late' | 'slow' | 'slow-lost';
type ReadFate = 'done' | 'failed' | 'slow';

const PROPOSERS = ['planner', 'watcher'];
/** Turns of the event loop in which the actor handles what was sent to it. */
const TURNS = 6;

function readName(body: RecordBody): string {
  return body.type === 'host-observed' ? (body.observations[0]?.host ?? '') : '';
}

function buildBody(name: string): RecordBody {
  return { type: 'host-observed', observations: [{ host: name, status: 'live' }] };
}

/** A log whose answers are lost, late or out of order as told, and a fold that ignores duplicates. */
class ScriptedLog extends LogClient {
  readonly fates: Fate[] = [];

  readonly readFates: ReadFate[] = [];

  /** Names in the order of their effect, with the sequence that had it. */
  readonly effects: { name: string; sequence: number }[] = [];

  /** Names at their first append. */
  readonly sent = new Set<string>();

  /** Called with each name that is sent for the first time. */
  onFirstSent: ((name: string) => void) | undefined;

  #entries: RecordEnvelope[] = [];

  #folded = 0;

  #sequence = 0;

  #late: (() => void)[] = [];

  #slow: (() => void)[] = [];

  override append(_stream: string, values: string[]): Promise<number> {
    const records = values.map((value) => RecordEnvelope.parse(JSON.parse(value)));
    records.forEach(({ body }) => {
      const name = readName(body);
      if (!this.sent.has(name)) this.onFirstSent?.(name);
      this.sent.add(name);
    });
    const fate = this.fates.shift() ?? 'done';
    const first = this.#entries.length;
    const take = (): void => {
      this.#entries.push(...records);
    };
    if (fate === 'late') this.#late.push(take);
    else if (fate !== 'failed') take();
    if (fate === 'done') return Promise.resolve(first);
    if (!fate.startsWith('slow')) return Promise.reject(new Error(fate));
    return new Promise((resolve, reject) => {
      this.#slow.push(() => (fate === 'slow' ? resolve(first) : reject(new Error(fate))));
    });
  }

  override read(): Promise<ReadResult> {
    const fate = this.readFates.shift() ?? 'done';
    const result = { entries: [], head: this.#entries.length };
    if (fate === 'done') return Promise.resolve(result);
    if (fate === 'failed') return Promise.reject(new Error(fate));
    return new Promise((resolve) => {
      this.#slow.push(() => resolve(result));
    });
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  /** Lets the oldest late append take effect. */
  takeLate(): void {
    this.#late.shift()?.();
  }

  /** Gives the oldest answer that is outstanding. */
  answerSlow(): void {
    this.#slow.shift()?.();
  }

  /** Folds some entries and returns what the writer is told. */
  fold(count: number): { type: 'folded'; sequence: number; nextOffset: number } {
    this.#entries.slice(this.#folded, this.#folded + count).forEach(({ sequence, body }) => {
      if (sequence <= this.#sequence) return;
      this.#sequence = sequence;
      this.effects.push({ name: readName(body), sequence });
    });
    this.#folded = Math.min(this.#entries.length, this.#folded + count);
    return { type: 'folded', sequence: this.#sequence, nextOffset: this.#folded };
  }
}

async function waitMocked(ms: number): Promise<void> {
  mock.timers.tick(ms);
  for (let turn = 0; turn < TURNS; turn += 1) await yieldTurn();
}

interface Submitted {
  names: string[];
  answers: SubmitAnswer[];
}

/** A writer under mocked timers, what was asked of it, and what it answered. */
class Model {
  readonly log = new ScriptedLog();

  readonly submitted: Submitted[] = [];

  /** Names that their proposer replaced before they were sent. */
  readonly replaced = new Set<string>();

  readonly #scope = new ActorScope('test', (_actor, error) => {
    throw error;
  });

  readonly writer = new LogWriter(this.#scope, { client: this.log, random: () => 0.5 });

  readonly #newest = new Map<string, string>();

  #count = 0;

  submit(size: number, timeoutMs: number): void {
    const names = Array.from({ length: size }, () => this.#createName());
    const submitted: Submitted = { names, answers: [] };
    this.submitted.push(submitted);
    const reply = (answer: SubmitAnswer): void => {
      submitted.answers.push(answer);
    };
    this.writer.send({ type: 'submit', bodies: names.map(buildBody), timeoutMs, reply });
  }

  propose(proposer: string): void {
    const before = this.#newest.get(proposer);
    if (before !== undefined) this.replaced.add(before);
    const name = this.#createName();
    this.#newest.set(proposer, name);
    this.writer.send({ type: 'propose', proposer, bodies: [buildBody(name)] });
  }

  /** Lets everything arrive, answers whatever is asked, and waits until all is settled. */
  async finish(): Promise<void> {
    this.log.fates.length = 0;
    this.log.readFates.length = 0;
    for (let round = 0; round < 40; round += 1) {
      this.log.takeLate();
      this.log.answerSlow();
      this.writer.send(this.log.fold(Number.POSITIVE_INFINITY));
      await waitMocked(1_000);
    }
  }

  close(): void {
    this.writer.close();
    this.#scope.close();
  }

  #createName(): string {
    this.#count += 1;
    return `h${this.#count}`;
  }
}

type Step =
  | { do: 'submit'; size: number; timeoutMs: number }
  | { do: 'propose'; proposer: string }
  | { do: 'fold'; count: number }
  | { do: 'wait'; ms: number }
  | { do: 'late' | 'answer' };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    do: fc.constant('submit' as const),
    size: fc.integer({ min: 1, max: 3 }),
    timeoutMs: fc.constantFrom(40, 300, 5_000),
  }),
  fc.record({ do: fc.constant('propose' as const), proposer: fc.constantFrom(...PROPOSERS) }),
  fc.record({ do: fc.constant('fold' as const), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ do: fc.constant('wait' as const), ms: fc.constantFrom(10, 60, 400) }),
  fc.record({ do: fc.constantFrom('late' as const, 'answer' as const) }),
);

interface Run {
  steps: Step[];
  fates: Fate[];
  readFates: ReadFate[];
}

const run: fc.Arbitrary<Run> = fc.record({
  steps: fc.array(step, { minLength: 5, maxLength: 50 }),
  fates: fc.array(fc.constantFrom<Fate>('done', 'lost', 'failed', 'late', 'slow', 'slow-lost'), {
    maxLength: 12,
  }),
  readFates: fc.array(fc.constantFrom<ReadFate>('done', 'failed', 'slow'), { maxLength: 6 }),
});

async function runModel(model: Model, one: Run): Promise<void> {
  model.log.fates.push(...one.fates);
  model.log.readFates.push(...one.readFates);
  for (const next of one.steps) {
    if (next.do === 'submit') model.submit(next.size, next.timeoutMs);
    else if (next.do === 'propose') model.propose(next.proposer);
    else if (next.do === 'fold') model.writer.send(model.log.fold(next.count));
    else if (next.do === 'late') model.log.takeLate();
    else if (next.do === 'answer') model.log.answerSlow();
    await waitMocked(next.do === 'wait' ? next.ms : 0);
  }
  await model.finish();
}

function verifyAnswers({ log, submitted }: Model): void {
  const names = log.effects.map(({ name }) => name);
  assert.equal(new Set(names).size, names.length, 'a record took effect twice');
  submitted.forEach((one) => {
    assert.equal(one.answers.length, 1, `${one.names.join()} has ${one.answers.length} answers`);
    const [answer] = one.answers;
    const sequences = one.names.map((name) => log.effects.find((e) => e.name === name)?.sequence);
    if (answer?.outcome === 'not-applied') {
      assert.ok(
        sequences.every((sequence) => sequence === undefined),
        'applied though denied',
      );
    } else if (answer?.outcome === 'appended') {
      assert.deepEqual(
        answer.ids.map(({ sequence }) => sequence),
        sequences,
      );
    }
  });
}

describe('LogWriter', () => {
  // Guards against a change that an operator is told did not happen, or that happens twice, when
  // appends and their answers are lost, late or slow.
  it('gives accepted records effect once and denied records none, whatever the log does', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    const outcomes = new Map<string, number>();
    await fc.assert(
      fc.asyncProperty(run, async (one) => {
        const model = new Model();
        const stale: string[] = [];
        model.log.onFirstSent = (name) => {
          if (model.replaced.has(name)) stale.push(name);
        };
        await runModel(model, one);
        verifyAnswers(model);
        assert.deepEqual(stale, [], 'a replaced proposal was sent');
        model.submitted.forEach(({ answers }) => {
          const key = answers[0]?.outcome ?? '';
          outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
        });
        model.close();
      }),
      { seed: readSeed(), numRuns: 300 },
    );
    mock.timers.reset();
    // The runs must reach each answer, or the property would say nothing about it.
    ['appended', 'not-applied', 'unknown'].forEach((key) => assert.ok(outcomes.has(key), key));
  });
});
