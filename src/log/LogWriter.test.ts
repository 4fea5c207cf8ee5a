/* eslint-disable max-classes-per-file -- the test doubles of one test. */
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
import { LogWriter, type LogSubmitResult } from './LogWriter.js';

/**
 * How the log handles an append: `lost` takes effect but reports a failure, `late` reports a
 * failure and takes effect later, and `slow` and `slow-lost` take effect at once and are answered
 * later, with a success or a failure.
 */
type AppendMode = 'done' | 'lost' | 'failed' | 'late' | 'slow' | 'slow-lost';
type ReadMode = 'done' | 'failed' | 'slow';

const PROPOSERS = ['planner', 'watcher'];
/** Event loop turns in which the actor handles the messages sent to it. */
const EVENT_LOOP_TURNS = 6;

function readName(body: RecordBody): string {
  return body.type === 'host-observed' ? (body.observations[0]?.host ?? '') : '';
}

function buildBody(name: string): RecordBody {
  return { type: 'host-observed', observations: [{ host: name, status: 'live' }] };
}

/**
 * A log with scripted answers to appends and reads, and a reader that ignores duplicate records.
 */
class ScriptedLog extends LogClient {
  readonly appendModes: AppendMode[] = [];

  readonly readModes: ReadMode[] = [];

  /**
   * Names in the order in which they were applied, with the sequence number of the applied record.
   */
  readonly appliedRecords: { name: string; sequence: number }[] = [];

  /** Names that were appended at least once. */
  readonly sent = new Set<string>();

  /** Called with each name when it is first appended. */
  onFirstSent: ((name: string) => void) | undefined;

  #entries: RecordEnvelope[] = [];

  #appliedCount = 0;

  #appliedSequence = 0;

  #lateAppends: (() => void)[] = [];

  #slowAnswers: (() => void)[] = [];

  override append(_stream: string, values: string[]): Promise<number> {
    const records = values.map((value) => RecordEnvelope.parse(JSON.parse(value)));
    records.forEach(({ body }) => {
      const name = readName(body);
      if (!this.sent.has(name)) this.onFirstSent?.(name);
      this.sent.add(name);
    });
    const mode = this.appendModes.shift() ?? 'done';
    const first = this.#entries.length;
    const appendRecords = (): void => {
      this.#entries.push(...records);
    };
    if (mode === 'late') this.#lateAppends.push(appendRecords);
    else if (mode !== 'failed') appendRecords();
    if (mode === 'done') return Promise.resolve(first);
    if (!mode.startsWith('slow')) return Promise.reject(new Error(mode));
    return new Promise((resolve, reject) => {
      this.#slowAnswers.push(() => (mode === 'slow' ? resolve(first) : reject(new Error(mode))));
    });
  }

  override read(): Promise<ReadResult> {
    const mode = this.readModes.shift() ?? 'done';
    const result = { entries: [], head: this.#entries.length };
    if (mode === 'done') return Promise.resolve(result);
    if (mode === 'failed') return Promise.reject(new Error(mode));
    return new Promise((resolve) => {
      this.#slowAnswers.push(() => resolve(result));
    });
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  /** Makes the oldest late append take effect. */
  applyLate(): void {
    this.#lateAppends.shift()?.();
  }

  /** Delivers the oldest outstanding answer. */
  answerSlow(): void {
    this.#slowAnswers.shift()?.();
  }

  /** Applies up to `count` entries and returns the message that reports this to the writer. */
  applyEntries(count: number): { type: 'folded'; sequence: number; nextOffset: number } {
    this.#entries
      .slice(this.#appliedCount, this.#appliedCount + count)
      .forEach(({ sequence, body }) => {
        if (sequence <= this.#appliedSequence) return;
        this.#appliedSequence = sequence;
        this.appliedRecords.push({ name: readName(body), sequence });
      });
    this.#appliedCount = Math.min(this.#entries.length, this.#appliedCount + count);
    return { type: 'folded', sequence: this.#appliedSequence, nextOffset: this.#appliedCount };
  }
}

async function runTimers(ms: number): Promise<void> {
  mock.timers.tick(ms);
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) await yieldTurn();
}

interface Submitted {
  names: string[];
  answers: LogSubmitResult[];
}

/** A writer under mocked timers, with the submitted records and its answers. */
class WriterModel {
  readonly log = new ScriptedLog();

  readonly submitted: Submitted[] = [];

  /** Names that their proposer replaced with a newer proposal. */
  readonly replaced = new Set<string>();

  readonly #scope = new ActorScope('test', (_actor, error) => {
    throw error;
  });

  readonly writer = new LogWriter(this.#scope, { client: this.log, random: () => 0.5 });

  readonly #newestProposals = new Map<string, string>();

  #count = 0;

  submit(size: number, timeoutMs: number): void {
    const names = Array.from({ length: size }, () => this.#createName());
    const submitted: Submitted = { names, answers: [] };
    this.submitted.push(submitted);
    const reply = (answer: LogSubmitResult): void => {
      submitted.answers.push(answer);
    };
    this.writer.send({ type: 'submit', bodies: names.map(buildBody), timeoutMs, reply });
  }

  propose(proposer: string): void {
    const before = this.#newestProposals.get(proposer);
    if (before !== undefined) this.replaced.add(before);
    const name = this.#createName();
    this.#newestProposals.set(proposer, name);
    this.writer.send({ type: 'propose', proposer, bodies: [buildBody(name)] });
  }

  /** Delivers all late appends and answers, and waits until every submission is settled. */
  async finish(): Promise<void> {
    this.log.appendModes.length = 0;
    this.log.readModes.length = 0;
    for (let round = 0; round < 40; round += 1) {
      this.log.applyLate();
      this.log.answerSlow();
      this.writer.send(this.log.applyEntries(Number.POSITIVE_INFINITY));
      await runTimers(1_000);
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
  | { do: 'apply'; count: number }
  | { do: 'wait'; ms: number }
  | { do: 'late' | 'answer' };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    do: fc.constant('submit' as const),
    size: fc.integer({ min: 1, max: 3 }),
    timeoutMs: fc.constantFrom(40, 300, 5_000),
  }),
  fc.record({ do: fc.constant('propose' as const), proposer: fc.constantFrom(...PROPOSERS) }),
  fc.record({ do: fc.constant('apply' as const), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ do: fc.constant('wait' as const), ms: fc.constantFrom(10, 60, 400) }),
  fc.record({ do: fc.constantFrom('late' as const, 'answer' as const) }),
);

interface Scenario {
  steps: Step[];
  appendModes: AppendMode[];
  readModes: ReadMode[];
}

const run: fc.Arbitrary<Scenario> = fc.record({
  steps: fc.array(step, { minLength: 5, maxLength: 50 }),
  appendModes: fc.array(
    fc.constantFrom<AppendMode>('done', 'lost', 'failed', 'late', 'slow', 'slow-lost'),
    { maxLength: 12 },
  ),
  readModes: fc.array(fc.constantFrom<ReadMode>('done', 'failed', 'slow'), { maxLength: 6 }),
});

async function runScenario(model: WriterModel, scenario: Scenario): Promise<void> {
  model.log.appendModes.push(...scenario.appendModes);
  model.log.readModes.push(...scenario.readModes);
  for (const next of scenario.steps) {
    if (next.do === 'submit') model.submit(next.size, next.timeoutMs);
    else if (next.do === 'propose') model.propose(next.proposer);
    else if (next.do === 'apply') model.writer.send(model.log.applyEntries(next.count));
    else if (next.do === 'late') model.log.applyLate();
    else if (next.do === 'answer') model.log.answerSlow();
    await runTimers(next.do === 'wait' ? next.ms : 0);
  }
  await model.finish();
}

function verifyAnswers({ log, submitted }: WriterModel): void {
  const names = log.appliedRecords.map(({ name }) => name);
  assert.equal(new Set(names).size, names.length, 'a record was applied twice');
  submitted.forEach((submission) => {
    assert.equal(
      submission.answers.length,
      1,
      `${submission.names.join()} has ${submission.answers.length} answers`,
    );
    const [answer] = submission.answers;
    const sequences = submission.names.map(
      (name) => log.appliedRecords.find((e) => e.name === name)?.sequence,
    );
    if (answer?.outcome === 'not-applied') {
      assert.ok(
        sequences.every((sequence) => sequence === undefined),
        'a record reported as not applied was applied',
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
  // Guards against applying a change twice, or applying one that was reported to the operator as
  // not applied, when appends and their answers are lost, late or slow.
  it('applies appended records once and not-applied records never, whatever the log does', async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    const outcomes = new Map<string, number>();
    await fc.assert(
      fc.asyncProperty(run, async (scenario) => {
        const model = new WriterModel();
        const stale: string[] = [];
        model.log.onFirstSent = (name) => {
          if (model.replaced.has(name)) stale.push(name);
        };
        await runScenario(model, scenario);
        verifyAnswers(model);
        assert.deepEqual(stale, [], 'a replaced proposal was appended');
        model.submitted.forEach(({ answers }) => {
          const key = answers[0]?.outcome ?? '';
          outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
        });
        model.close();
      }),
      { seed: readSeed(), numRuns: 300 },
    );
    mock.timers.reset();
    // The property covers an outcome only if some run reaches it.
    ['appended', 'not-applied', 'unknown'].forEach((key) => assert.ok(outcomes.has(key), key));
  });
});
