import type { TrackedJob } from '../workLog/mod.js';
import type { QueueConfig } from '../port/mod.js';
import type { Occurrence } from './Occurrence.js';
import { ScheduledJob, type FinalState } from './ScheduledJob.js';
import type { ScheduledStep } from './ScheduledStep.js';
import type { ShardOutput } from './ShardCommand.js';
import type { WorkUnit } from './WorkUnit.js';

/** Time in ms before their scheduled start at which occurrences are opened; covers timer delays. */
const OPEN_AHEAD_MS = 50;

/** The unfinished jobs of a shard, their ready steps, and the jobs whose progress is unrecorded. */
export class JobTable {
  readonly #jobs = new Map<string, ScheduledJob>();

  /** Unfinished steps whose dependencies are finished. */
  readonly #ready = new Set<ScheduledStep>();

  /** Jobs whose progress has changed since it was last recorded. */
  readonly #dirty = new Set<ScheduledJob>();

  /** Jobs that have begun since their progress was last recorded; the next append records them. */
  readonly #begun = new Set<ScheduledJob>();

  readonly #output: ShardOutput;

  constructor(output: ShardOutput) {
    this.#output = output;
  }

  get size(): number {
    return this.#jobs.size;
  }

  get jobs(): IterableIterator<ScheduledJob> {
    return this.#jobs.values();
  }

  /** Finds an unfinished job by its identifier. */
  get(id: string): ScheduledJob | undefined {
    return this.#jobs.get(id);
  }

  /** Adds a job and returns it; undefined if it is already finished or has been added before. */
  add(tracked: TrackedJob, queue: QueueConfig, nowWallMs: number): ScheduledJob | undefined {
    if (this.#jobs.has(tracked.id)) return undefined;
    const job = new ScheduledJob(tracked, queue);
    if (job.finalState !== undefined) return undefined;
    this.#jobs.set(job.id, job);
    job.occurrences.forEach((occurrence) => this.#updateReady(occurrence, nowWallMs));
    this.#openOccurrences(job, nowWallMs);
    return job;
  }

  /** Applies the current queue configurations; jobs of removed queues keep the last one. */
  updateQueues(find: (name: string) => QueueConfig | undefined): void {
    this.#jobs.forEach((job) => {
      job.setQueue(find(job.queue.name) ?? job.queue);
    });
  }

  /** Opens the occurrences of recurring jobs that have become due. */
  openDueOccurrences(nowWallMs: number): void {
    this.#jobs.forEach((job) => {
      if (job.tracked.spec.repeat !== undefined) this.#openOccurrences(job, nowWallMs);
    });
  }

  /** Lists the ready steps with waiting units, grouped by pool. */
  listWaiting(): Map<string, ScheduledStep[]> {
    const byPool = new Map<string, ScheduledStep[]>();
    this.#ready.forEach((step) => {
      if (!step.units.hasWaiting) return;
      const { pool } = step.occurrence.job.queue;
      const steps = byPool.get(pool);
      if (steps === undefined) byPool.set(pool, [step]);
      else steps.push(step);
    });
    return byPool;
  }

  /** Finds the unit that contains a task of an unfinished job. */
  findUnit(id: string, occurrence: number, step: number, index: number): WorkUnit | undefined {
    return this.#jobs.get(id)?.occurrences.get(occurrence)?.steps[step]?.findUnit(index);
  }

  /** Records that the start of a run is about to be ordered; a later owner has to know of it. */
  recordStart(unit: WorkUnit): void {
    const { occurrence } = unit.step;
    occurrence.hasStarted = true;
    this.#markDirty(unit);
  }

  /**
   * Records that a host has started a run of a unit, so that its job no longer counts as waiting. It
   * may count as waiting a little longer, so this causes no append by itself.
   */
  recordBegin(unit: WorkUnit): void {
    const { occurrence } = unit.step;
    const { job } = occurrence;
    if (job.finalState !== undefined) return;
    if (!occurrence.hasStarted) this.#markDirty(unit);
    occurrence.hasStarted = true;
    if (job.hasBegun) return;
    job.hasBegun = true;
    this.#begun.add(job);
  }

  /** Marks a unit as done, and also its step, occurrence and job if it was their last one. */
  finishUnit(unit: WorkUnit, nowWallMs: number): void {
    // A run of a finished job may still report its end, which must not start the following steps.
    if (unit.isDone || unit.step.occurrence.job.finalState !== undefined) return;
    unit.finish();
    const { step } = unit;
    const { occurrence } = step;
    this.#markDirty(unit);
    if (step.isDone) this.#updateReady(occurrence, nowWallMs);
  }

  /** Counts a failed run; returns true if its job has failed because all attempts are used up. */
  failUnit(unit: WorkUnit, run: number, nowWallMs: number): boolean {
    const { job } = unit.step.occurrence;
    if (job.finalState !== undefined) return false;
    if (!unit.recordFailure(run)) return false;
    const { failures } = unit;
    this.#markDirty(unit);
    if (failures < job.queue.maxAttempts) return false;
    this.finishJob(job, 'failed', nowWallMs, `a task failed ${failures} times`);
    return true;
  }

  /** Finishes a job with a final state. The caller has to stop its runs. */
  finishJob(job: ScheduledJob, finalState: FinalState, nowWallMs: number, reason?: string): void {
    job.finish(finalState, nowWallMs, reason);
    this.#jobs.delete(job.id);
    job.occurrences.forEach(({ steps }) => steps.forEach((step) => this.#ready.delete(step)));
    this.#dirty.add(job);
    this.#output.record({
      decision: 'job-finished',
      subject: job.id,
      inputs: { state: finalState, reason, afterMs: nowWallMs - job.tracked.submittedAtMs },
    });
  }

  /** Returns the jobs whose progress has to be recorded, and clears the set. */
  takeDirtyJobs(): ScheduledJob[] {
    const jobs = new Set([...this.#dirty, ...this.#begun]);
    this.#dirty.clear();
    this.#begun.clear();
    return [...jobs];
  }

  get hasDirtyJobs(): boolean {
    return this.#dirty.size > 0;
  }

  #markDirty(unit: WorkUnit): void {
    const { job } = unit.step.occurrence;
    job.markChanged(unit);
    this.#dirty.add(job);
  }

  #openOccurrences(job: ScheduledJob, nowWallMs: number): void {
    job
      .openOccurrences(nowWallMs + OPEN_AHEAD_MS)
      .forEach((occurrence) => this.#updateReady(occurrence, nowWallMs));
  }

  /** Updates the set of ready steps of an occurrence, and finishes the occurrence if it is done. */
  #updateReady(occurrence: Occurrence, nowWallMs: number): void {
    const { job, steps } = occurrence;
    if (occurrence.isDone) {
      steps.forEach((step) => this.#ready.delete(step));
      if (job.finishOccurrence(occurrence.number)) this.finishJob(job, 'completed', nowWallMs);
      this.#dirty.add(job);
      return;
    }
    steps.forEach((step) => {
      if (step.isDone) this.#ready.delete(step);
      else if (step.isReady) this.#ready.add(step);
    });
  }
}
