import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { Metrics } from '../metrics/mod.js';
import { Configuration, StoreLimits } from '../port/mod.js';
import { JobSpec } from '../task/mod.js';
import { WorkLogKey, WorkLogView } from '../workLog/mod.js';
import { buildQueueConfig } from '../testing/ScheduleRig.js';
import type { WorkLogFollower, WorkLogFollowerMessage, JobLookup } from './WorkLogFollower.js';
import { JobService, type JobServiceOptions } from './JobService.js';
import type { NodeContext } from './NodeContext.js';
import type { WorkLogWriterMessage, WriteOutcome } from './WorkLogWriter.js';

/** A work log follower that catches up with the current time on each requested read. */
class LaggingWorkLog {
  readonly #clock: ManualClock;

  readonly #lookup: JobLookup;

  /** Fields of the lookup that change once the follower has caught up. */
  caughtUp: Partial<JobLookup> = {};

  constructor(clock: ManualClock, follow: Partial<JobLookup['follow']>) {
    this.#clock = clock;
    const state = { end: 9, isCurrent: true, freshAt: 0, isInContact: true, contactSince: 0 };
    this.#lookup = { state: undefined, queue: undefined, follow: { ...state, ...follow } };
  }

  setState(state: JobLookup['state']): void {
    Object.assign(this.#lookup, { state, queue: 'renders' });
  }

  send({ type }: WorkLogFollowerMessage): void {
    if (type !== 'read-now') return;
    this.#clock.advance(50);
    this.#lookup.follow.freshAt = this.#clock.readMonotonic();
    Object.assign(this.#lookup, this.caughtUp);
  }

  ask(): Promise<JobLookup> {
    return Promise.resolve(this.#lookup);
  }
}

interface StoringWriter {
  /** Keys of the records that were written. */
  keys: string[];
  values: string[];
  /** Whether the writer says that records are open. */
  isOpen: boolean;
  /** Outcome of each write. */
  outcome: WriteOutcome;
  /** Keys of the records that another node may store. */
  uncertainKeys: string[];
  ask: (build: (reply: () => void) => WorkLogWriterMessage) => Promise<WriteOutcome | boolean>;
  send: (message: WorkLogWriterMessage) => void;
}

/** Creates a writer that stores every record. */
function createWriter(): StoringWriter {
  const keys: string[] = [];
  const values: string[] = [];
  const uncertainKeys: string[] = [];
  return {
    keys,
    values,
    uncertainKeys,
    isOpen: false,
    outcome: 'stored',
    send(message): void {
      if (message.type === 'mark-uncertain') uncertainKeys.push(message.key);
    },
    ask(build): Promise<WriteOutcome | boolean> {
      const message = build(() => undefined);
      if (message.type === 'is-open' || message.type === 'has-open')
        return Promise.resolve(this.isOpen);
      if (message.type === 'write') {
        keys.push(message.record.key);
        values.push(message.record.value ?? '');
      }
      return Promise.resolve(this.outcome);
    },
  };
}

function openJobService(
  clock: ManualClock,
  workLog: LaggingWorkLog,
  writer = createWriter(),
): JobService {
  const relay = {
    findState: () => Promise.resolve(undefined),
    write: () => Promise.resolve('unknown'),
  };
  const options = { workLog: workLog as unknown as WorkLogFollower, relay, writer };
  const context = {
    clock,
    log: { record: () => undefined },
    metrics: new Metrics(),
    settings: {
      dataCentre: 'dc-1',
      retentionMs: 60_000,
      shard: { rateWindowMs: 5_000 },
      store: StoreLimits.parse({}),
    },
  };
  const service = new JobService(
    context as unknown as NodeContext,
    options as unknown as JobServiceOptions,
  );
  const configuration = Configuration.parse({ version: 1, queues: [], pools: [] });
  service.setOperatorState({ configuration, waves: new Map(), freshAt: 0, isCurrent: true });
  return service;
}

describe('JobService', () => {
  // Guards against a job that the store never accepts: its caller was told to come back.
  it('refuses a job whose record is larger than the store accepts, with its size', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const writer = createWriter();
    const service = openJobService(clock, new LaggingWorkLog(clock, {}), writer);
    const after = Array.from({ length: 1_000 }, () => 0);
    const steps = [{ count: 1 }, ...Array.from({ length: 200 }, () => ({ count: 1, after }))];
    const spec = JobSpec.parse({ payload: '', steps });
    const answer = await service.submit('a', buildQueueConfig(), spec);
    assert.ok(answer.type === 'bad-request');
    assert.match(answer.findings[0]?.message ?? '', /^the job takes 40\d{4} bytes.*at most 262144/);
    assert.deepEqual(writer.keys, []);
  });

  // Guards against telling a peer that a job does not exist when it was accepted after the last
  // read. The peer cannot reach the store and would pass the result on to its caller.
  it('catches up with the work log before it answers a query of a peer', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, { freshAt: clock.readMonotonic() - 500 });
    workLog.caughtUp = { state: 'running', queue: 'renders' };
    const found = await openJobService(clock, workLog).findState('a');
    assert.deepEqual(found, { state: 'running', queue: 'renders', organisation: null });
  });

  it('returns no result to a peer for an unknown job while reads fail', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, { freshAt: 900, isInContact: false });
    assert.equal(await openJobService(clock, workLog).findState('a'), undefined);
  });

  it('responds that there is no such job once the work log has caught up', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, {});
    const answer = await openJobService(clock, workLog).describe('a', buildQueueConfig());
    assert.deepEqual(answer, { type: 'no-job' });
  });

  it('refuses a query for an unknown job while no node has a current state', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, { isInContact: false });
    const answer = await openJobService(clock, workLog).describe('a', buildQueueConfig());
    assert.equal(answer.type, 'refused');
  });

  // Guards against a repeated submission that replaces the first record of its job in the store.
  it('accepts a job that is known to be stored without storing it again', async () => {
    const clock = new ManualClock();
    const workLog = new LaggingWorkLog(clock, {});
    const writer = createWriter();
    const service = openJobService(clock, workLog, writer);
    const spec = JobSpec.parse({ payload: 'x', steps: [{ count: 1 }] });
    assert.deepEqual(await service.submit('a', buildQueueConfig(), spec), { type: 'accepted' });
    assert.deepEqual(writer.keys, [WorkLogKey.job('a', 'dc-1')]);
    workLog.setState('running');
    assert.deepEqual(await service.submit('a', buildQueueConfig(), spec), { type: 'accepted' });
    assert.equal(writer.keys.length, 1);
  });

  // Guards against a refused repetition of a submission that a peer may still store: the writer did
  // not learn of the unknown outcome of the relayed write.
  it('tells the writer that a peer may still store a relayed record', async () => {
    const clock = new ManualClock();
    const writer = { ...createWriter(), outcome: 'not-stored' as const };
    const service = openJobService(clock, new LaggingWorkLog(clock, {}), writer);
    const spec = JobSpec.parse({ payload: 'x', steps: [{ count: 1 }] });
    assert.deepEqual(await service.submit('a', buildQueueConfig(), spec), { type: 'unknown' });
    assert.deepEqual(writer.uncertainKeys, [WorkLogKey.job('a', 'dc-1')]);
  });

  // Guards against a refusal that says that a job never runs while its first write may be stored: in
  // deployments without organisations, refusals were passed on unchecked.
  it('answers a refused repetition as unknown while a write of the job is open', async () => {
    const clock = new ManualClock();
    const workLog = new LaggingWorkLog(clock, {});
    workLog.setState('running');
    const writer = { ...createWriter(), isOpen: true };
    const service = openJobService(clock, workLog, writer);
    const spec = JobSpec.parse({ payload: 'x', steps: [{ count: 1 }] });
    const other = buildQueueConfig({ name: 'scores' });
    assert.deepEqual(await service.submit('a', other, spec), { type: 'unknown' });
  });

  // Guards against a job that runs although its cancellation was answered (UNASKED): the write of the
  // job may be open in this node, in another one or in the store.
  it('stores the cancellation of a job that it does not know', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const writer = createWriter();
    const service = openJobService(clock, new LaggingWorkLog(clock, {}), writer);
    assert.deepEqual(await service.cancel('a', buildQueueConfig()), { type: 'no-job' });
    assert.deepEqual(writer.keys, [WorkLogKey.earlyCancel('a', 'renders')]);
  });

  // Guards against a caller that is told that there is no such job before its job is stored.
  it('does not deny a job whose write is open in the node', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const writer = { ...createWriter(), isOpen: true };
    const service = openJobService(clock, new LaggingWorkLog(clock, {}), writer);
    assert.equal((await service.describe('a', buildQueueConfig())).type, 'refused');
    assert.deepEqual(await service.cancel('a', buildQueueConfig()), { type: 'cancelled' });
  });

  it('cancels no job of another queue', async () => {
    const clock = new ManualClock();
    const workLog = new LaggingWorkLog(clock, {});
    workLog.setState('running');
    const writer = createWriter();
    const service = openJobService(clock, workLog, writer);
    const other = buildQueueConfig({ name: 'scores' });
    assert.deepEqual(await service.cancel('a', other), { type: 'no-job' });
    assert.deepEqual(writer.keys, []);
  });

  // Guards against a job that is never restarted (LOST): an owner that takes it over after its queue
  // has been removed knows only what is stored with the job.
  it('stores with a job whether its queue needs advice', async () => {
    const writer = createWriter();
    const clock = new ManualClock();
    const service = openJobService(clock, new LaggingWorkLog(clock, {}), writer);
    const advice = { decisionMs: 100, perHostMs: 10 };
    const spec = JobSpec.parse({ payload: 'x', steps: [{ count: 1 }] });
    await service.submit('a', buildQueueConfig({ advice }), spec);
    const view = new WorkLogView();
    const [key = '', value = ''] = [writer.keys[0], writer.values[0]];
    view.apply({ offset: 0, key, value: Buffer.from(value) });
    assert.deepEqual(view.get('a')?.rule.advice, advice);
  });

  // Guards against a job that is said to be accepted and never runs.
  it('refuses a job whose identifier belongs to a job of another queue', async () => {
    const clock = new ManualClock();
    const workLog = new LaggingWorkLog(clock, {});
    workLog.setState('running');
    const writer = createWriter();
    const spec = JobSpec.parse({ payload: 'x', steps: [{ count: 1 }] });
    const other = buildQueueConfig({ name: 'scores' });
    const answer = await openJobService(clock, workLog, writer).submit('a', other, spec);
    assert.equal(answer.type, 'refused');
    assert.deepEqual(writer.keys, []);
  });

  // Guards against callers that learn late that their job has finished: a node that is no standby
  // reads the work log only from time to time.
  it('reads the work log again before it describes a running job from an old state', async () => {
    const clock = new ManualClock();
    clock.advance(1_000);
    const workLog = new LaggingWorkLog(clock, { freshAt: clock.readMonotonic() - 300 });
    workLog.setState('running');
    workLog.caughtUp = { state: 'completed' };
    const answer = await openJobService(clock, workLog).describe('a', buildQueueConfig());
    assert.deepEqual(answer, { type: 'state', state: 'completed' });
  });
});
