import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ManualClock } from '../clock/mod.js';
import { measureRecord, StoreLimits, type KeyedValue, type StoreRecord } from '../port/mod.js';
import type { Run } from '../schedule/mod.js';
import { ScheduledJob } from '../schedule/ScheduledJob.js';
import type { WorkUnit } from '../schedule/WorkUnit.js';
import { JobSpec, parseTaskId } from '../task/mod.js';
import { buildQueueConfig, ScheduleRig } from '../testing/ScheduleRig.js';
import { readSeed } from '../testing/mod.js';
import { encodeAcceptedJob, WorkLogKey, WorkLogView, type TrackedJob } from '../workLog/mod.js';
import type { NodeContext } from './NodeContext.js';
import { OwnerRecords } from './_OwnerRecords.js';
import { ProgressRecords } from './_ProgressRecords.js';

const { recordBytes } = StoreLimits.parse({});
/** Interval in ms of the occurrences, so that jobs grow from one record to several parts. */
const INTERVAL_MS = 100;
const RUNS = 50;
const HOSTS = Array.from({ length: 6 }, (_, index) => `i-0000000${index}`);

/** A log with readers that follow it, or read the newest record of each key. */
class Log {
  readonly #records: StoreRecord[] = [];

  readonly #follower = new WorkLogView();

  append(records: readonly KeyedValue[]): void {
    records.forEach(({ key, value }) => {
      const offset = this.#records.length;
      const record = { key, offset, value: value === undefined ? undefined : Buffer.from(value) };
      this.#records.push(record);
      this.#follower.apply(record);
    });
  }

  /** Returns a job as a follower, a reader of the newest records and one that began between see it. */
  read(id: string, snapshotEnd: number): TrackedJob[] {
    const newest = new WorkLogView();
    const between = new WorkLogView();
    Log.#listNewest(this.#records).forEach((one) => newest.apply(one, { isNewest: true }));
    Log.#listNewest(this.#records.slice(0, snapshotEnd)).forEach((one) =>
      between.apply(one, { isNewest: true }),
    );
    this.#records.slice(snapshotEnd).forEach((one) => between.apply(one));
    return [this.#follower, newest, between].flatMap((view) => view.get(id) ?? []);
  }

  get end(): number {
    return this.#records.length;
  }

  static #listNewest(records: readonly StoreRecord[]): StoreRecord[] {
    const byKey = new Map(records.map((record) => [record.key, record]));
    return [...byKey.values()]
      .filter(({ value }) => value !== undefined)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
  }
}

/** Describes what a new owner restores: done tasks, failed runs and runs that may exist. */
function describeRestored(tracked: TrackedJob): unknown {
  const job = new ScheduledJob(tracked, buildQueueConfig());
  const { state, finishedBelow, finished } = job.describeProgress(0);
  const occurrences = [...job.occurrences.values()].map(({ number, steps }) => ({
    number,
    steps: steps.map(({ units }) => ({
      done: units.listDone(),
      units: [...units.known]
        .map(({ indexes, failedRuns, inheritedRuns }) => [
          indexes[0] ?? 0,
          [...failedRuns].sort(),
          inheritedRuns.map(({ index, number: run, host }) => `${index} ${run} ${host}`).sort(),
        ])
        .sort(([one], [other]) => Number(one) - Number(other)),
    })),
  }));
  return { state, finishedBelow, finished: [...finished].sort(), occurrences };
}

function acceptJob(log: Log, spec: JobSpec): void {
  const value = encodeAcceptedJob({
    queue: 'renders',
    pool: 'studio',
    rule: { priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600 },
    submittedAtMs: 0,
    dataCentre: 'dc-1',
    spec,
  });
  log.append([{ key: WorkLogKey.job('a', 'dc-1'), value }]);
}

function openRig(log: Log): ScheduleRig {
  const rig = new ScheduleRig();
  HOSTS.forEach((id) => rig.addHost(id));
  const [tracked] = log.read('a', log.end);
  assert.ok(tracked !== undefined);
  rig.shard.addJob(tracked);
  return rig;
}

/** What a new owner has to know: runs that were ordered and have not ended, and done tasks. */
interface Expected {
  runs: ReadonlySet<string>;
  done: ReadonlySet<string>;
}

/** Checks that all readers agree, and that a new owner knows the runs and the done tasks. */
function checkReaders(log: Log, snapshot: number, { runs, done }: Expected): void {
  const readers = log.read('a', Math.floor((snapshot / 100) * log.end));
  const [follower] = readers;
  assert.ok(follower !== undefined && readers.length === 3);
  readers.forEach((one) => assert.deepEqual(describeRestored(one), describeRestored(follower)));
  if ((follower.progress?.state ?? 'active') !== 'active') return;
  const job = new ScheduledJob(follower, buildQueueConfig());
  const findUnit = (task: string): WorkUnit | undefined => {
    const id = parseTaskId(task);
    assert.ok(id !== undefined);
    const occurrence = job.occurrences.get(id.occurrence);
    return occurrence?.steps[id.step]?.findUnit(id.index);
  };
  runs.forEach((name) => {
    const [task = '', run] = name.split(' ');
    const inherited = findUnit(task)?.inheritedRuns ?? [];
    assert.ok(
      inherited.some((one) => one.number === Number(run)),
      `run ${run} of ${task} is not known`,
    );
  });
  const { finishedBelow, finished } = job.describeProgress(0);
  done.forEach((task) => {
    const occurrence = parseTaskId(task)?.occurrence ?? 0;
    if (occurrence < finishedBelow || finished.includes(occurrence)) return;
    assert.equal(findUnit(task)?.isDone, true, `${task} is not done`);
  });
}

describe('progress records', () => {
  // Guards against an owner whose appends are all refused (LOST): the progress of one job with many
  // runs under way was one record, larger than the store accepts.
  it('are not larger than the store accepts, whatever is under way', () => {
    const log = new Log();
    const step = { count: 9_000, cpuMilli: 5, memoryMb: 1 };
    acceptJob(log, JobSpec.parse({ payload: '', steps: [step, step] }));
    const rig = openRig(log);
    let started = 0;
    for (let round = 0; round < 18; round += 1) started += rig.startAll().length;
    assert.equal(started, 18_000);
    const settings = { name: 'node', dataCentre: 'dc-1', retentionMs: 1, store: { recordBytes } };
    const context = { clock: new ManualClock(), settings, session: 's' };
    const owner = new OwnerRecords(context as unknown as NodeContext, rig.shard);
    const update = { hasNewMachineOrders: false, isHeartbeatDue: false, isRelease: false };
    const { records } = owner.build({
      ...update,
      jobs: rig.shard.takeDirtyJobs(),
      waves: [],
      readTo: 0,
      intervalMs: 0,
    });
    const sizes = records.map((record) => measureRecord(record));
    assert.ok(Math.max(...sizes) <= recordBytes, `${Math.max(...sizes)} bytes`);
    log.append(records);
    const [restored] = log.read('a', log.end);
    assert.ok(restored !== undefined);
    const job = new ScheduledJob(restored, buildQueueConfig());
    const inherited = [...job.occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap(({ units }) => [...units.known].flatMap((unit) => unit.inheritedRuns)),
    );
    assert.equal(inherited.length, 18_000);
  });

  // Guards against a new owner that starts a task again since a part of the progress was missing, or
  // was stored without the others when the former owner ended.
  it('give every reader the same progress, with all runs that were ordered', () => {
    const actions = fc.array(
      fc.record({
        ends: fc.array(fc.tuple(fc.nat(), fc.constantFrom('done' as const, 'failed' as const)), {
          maxLength: 40,
        }),
        /** Percentage of the records of the append that are stored when the owner ends. */
        stored: fc.integer({ min: 0, max: 100 }),
        /** Percentage of the log at which a reader begins with the newest records. */
        snapshot: fc.integer({ min: 0, max: 100 }),
      }),
      { minLength: 1, maxLength: 8 },
    );
    const job = fc.record({
      one: fc.integer({ min: 1, max: 400 }),
      two: fc.integer({ min: 1, max: 400 }),
      repeats: fc.integer({ min: 1, max: 4 }),
      maxRecordBytes: fc.integer({ min: 400, max: 60_000 }),
    });
    fc.assert(
      fc.property(job, actions, ({ one, two, repeats, maxRecordBytes }, steps) => {
        const log = new Log();
        acceptJob(
          log,
          JobSpec.parse({
            payload: '',
            steps: [
              { count: one, cpuMilli: 50 },
              { count: two, cpuMilli: 50, after: [0] },
              { count: 3, cpuMilli: 50, gang: true },
            ],
            repeat: {
              count: repeats,
              startAtMs: new ManualClock().readWall(),
              intervalMs: INTERVAL_MS,
            },
          }),
        );
        const rig = openRig(log);
        const records = new ProgressRecords(1, maxRecordBytes);
        const running: Run[] = [];
        const runs = new Set<string>();
        const done = new Set<string>();
        for (const { ends, stored, snapshot } of steps) {
          rig.clock.advance(INTERVAL_MS);
          HOSTS.forEach((id) => rig.report(id));
          const started = rig.startAll();
          const append = rig.shard.takeDirtyJobs().flatMap((changed) => records.build(changed));
          const partial = Math.floor((stored / 100) * append.length);
          log.append(append.slice(0, partial));
          checkReaders(log, snapshot, { runs, done: new Set() });
          log.append(append.slice(partial));
          // Starts are ordered only after all records have been stored.
          started.forEach((run) => {
            running.push(run);
            runs.add(`${run.task} ${run.number}`);
          });
          checkReaders(log, snapshot, { runs, done });
          ends.forEach(([index, outcome]) => {
            const [run] = running.splice(index % Math.max(1, running.length), 1);
            if (run === undefined || run.unit.isDone || run.unit.spec.gang) return;
            runs.delete(`${run.task} ${run.number}`);
            if (outcome === 'done') done.add(run.task);
            rig.end(run, outcome);
          });
        }
      }),
      { seed: readSeed(), numRuns: RUNS },
    );
  });
});
