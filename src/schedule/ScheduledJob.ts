import type { TrackedJob, JobProgress } from '../workLog/mod.js';
import type { QueueConfig } from '../port/mod.js';
import { Occurrence } from './Occurrence.js';
import type { Run } from './Run.js';

type StartedRun = JobProgress['occurrences'][number]['steps'][number]['started'][number];

/** Final state of a job. */
export type FinalState = 'completed' | 'failed' | 'cancelled';

/**
 * Maximum number of steps of all open occurrences of a job, which bounds the memory of a recurring
 * job whose occurrences are due faster than they finish. Further occurrences are opened later.
 */
const MAX_OPEN_STEPS = 1_000;

/** A job with its scheduling state. */
export class ScheduledJob {
  /** Unfinished occurrences that have been opened, by number. */
  readonly occurrences = new Map<number, Occurrence>();

  /** Finished occurrences, some of whose runs may still be stopping. */
  #ended: Occurrence[] = [];

  /** Numbers of the finished occurrences from `#finishedBelow` on. */
  readonly #finished = new Set<number>();

  /** All occurrences below this number are finished. */
  #finishedBelow = 0;

  finalState: FinalState | undefined;

  reason: string | undefined;

  endedAtMs: number | undefined;

  /** A host has started at least one of its tasks. */
  hasBegun = false;

  /** It has long-running tasks. */
  readonly isLasting: boolean;

  /** Number of failed runs of all of its tasks. */
  failures = 0;

  constructor(
    readonly tracked: TrackedJob,
    public queue: QueueConfig,
  ) {
    this.isLasting = tracked.spec.steps.some((step) => step.isLasting);
    this.#restore(tracked.progress);
  }

  get id(): string {
    return this.tracked.id;
  }

  get occurrenceCount(): number {
    return this.tracked.spec.repeat?.count ?? 1;
  }

  /** Computes when an occurrence is due, in ms since the Unix epoch; 0 for one-off jobs. */
  computeScheduledTime(number: number): number {
    const { repeat } = this.tracked.spec;
    return repeat === undefined ? 0 : repeat.startAtMs + number * repeat.intervalMs;
  }

  /** Opens the occurrences that are due by a wall-clock time and returns the new ones. */
  openOccurrences(untilWallMs: number): Occurrence[] {
    const opened: Occurrence[] = [];
    const end = Math.min(this.occurrenceCount, this.#finishedBelow + this.#maxOpenOccurrences);
    for (let number = this.#finishedBelow; number < end; number += 1) {
      const scheduledWallMs = this.computeScheduledTime(number);
      if (scheduledWallMs > untilWallMs) break;
      if (!this.occurrences.has(number) && !this.#finished.has(number)) {
        opened.push(this.#openOccurrence(number));
      }
    }
    return opened;
  }

  /** Maximum number of occurrences that are open at the same time. */
  get #maxOpenOccurrences(): number {
    return Math.max(1, Math.floor(MAX_OPEN_STEPS / this.tracked.spec.steps.length));
  }

  /** Counts a failed run of one of its tasks. */
  recordFailure(): void {
    this.failures += 1;
  }

  /** Sets the current configuration of the job's queue. */
  setQueue(queue: QueueConfig): void {
    this.queue = queue;
  }

  /** Sets the final state of the job. */
  finish(finalState: FinalState, endedAtMs: number, reason: string | undefined): void {
    this.finalState = finalState;
    this.endedAtMs = endedAtMs;
    this.reason = reason;
  }

  /** Marks an occurrence as finished; returns true if all occurrences of the job are finished. */
  finishOccurrence(number: number): boolean {
    const ended = this.occurrences.get(number);
    if (ended !== undefined) this.#ended.push(ended);
    this.occurrences.delete(number);
    this.#finished.add(number);
    while (this.#finished.delete(this.#finishedBelow)) this.#finishedBelow += 1;
    return this.#finishedBelow >= this.occurrenceCount;
  }

  /** Collects the runs of all tasks of the job. */
  collectRuns(): Run[] {
    return [...this.occurrences.values()].flatMap((occurrence) =>
      occurrence.steps.flatMap(({ units }) => [...units.known].flatMap(({ runs }) => [...runs])),
    );
  }

  /** Describes the progress of the job for the work log. */
  describeProgress(token: number): JobProgress {
    return {
      token,
      state: this.finalState ?? 'active',
      hasBegun: this.hasBegun,
      ...(this.reason === undefined ? {} : { reason: this.reason }),
      ...(this.endedAtMs === undefined ? {} : { endedAtMs: this.endedAtMs }),
      finishedBelow: this.#finishedBelow,
      finished: [...this.#finished],
      occurrences: this.#listRecordedOccurrences().map((occurrence) =>
        this.#describeOccurrence(occurrence),
      ),
    };
  }

  /**
   * Lists the occurrences that have started. Finished ones, and those of a finished job, are recorded
   * only if the job has an organisation: the runs that are still stopping count against its cap at a
   * later owner, too.
   */
  #listRecordedOccurrences(): Occurrence[] {
    this.#ended = this.#ended.filter(({ hasRuns }) => hasRuns);
    const started = [...this.occurrences.values()].filter(({ hasStarted }) => hasStarted);
    if (this.#hasOrganisation) return [...this.#ended, ...started];
    return this.finalState === undefined ? started : [];
  }

  get #hasOrganisation(): boolean {
    return this.tracked.organisation !== undefined;
  }

  #describeOccurrence({ number, steps }: Occurrence): JobProgress['occurrences'][number] {
    return {
      number,
      steps: steps.map((step) => ({
        done: step.units.listDone(),
        failed: [...step.units.known]
          .filter((unit) => unit.failures > 0 && !unit.isDone)
          .map((unit) => [unit.indexes[0] ?? 0, [...unit.failedRuns]]),
        started: [...step.units.known]
          .filter((unit) => !unit.isDone || this.#hasOrganisation)
          .flatMap((unit) => [
            ...unit.inheritedRuns.map((one): StartedRun => [one.index, one.number, one.host]),
            ...[...unit.runs].map((run): StartedRun => [run.index, run.number, run.host.id]),
          ]),
      })),
    };
  }

  #openOccurrence(number: number): Occurrence {
    const occurrence = new Occurrence(this, number, this.computeScheduledTime(number));
    this.occurrences.set(number, occurrence);
    return occurrence;
  }

  #restore(progress: JobProgress | undefined): void {
    if (progress === undefined) return;
    this.hasBegun = progress.hasBegun;
    this.#finishedBelow = progress.finishedBelow;
    progress.finished.forEach((number) => this.#finished.add(number));
    if (progress.state !== 'active') this.finalState = progress.state;
    progress.occurrences.forEach(({ number, steps }) => {
      // Only the use of the organisation depends on the runs of a finished occurrence.
      if (number < this.#finishedBelow || this.#finished.has(number)) return;
      const occurrence = this.#openOccurrence(number);
      occurrence.hasStarted = true;
      steps.forEach(({ done, failed, started }, index) => {
        const step = occurrence.steps[index];
        if (step === undefined) return;
        done.forEach((task) => {
          const unit = step.findUnit(task);
          if (unit?.isDone === false) unit.finish();
        });
        failed.forEach(([task, runs]) => {
          const unit = step.findUnit(task);
          runs.forEach((run) => unit?.recordFailure(run));
        });
        started.forEach(([task, run, host]) => {
          const unit = step.findUnit(task);
          if (unit === undefined || unit.isDone) return;
          unit.inheritedRuns.push({ index: task, number: run, host });
          unit.lastRunNumber = Math.max(unit.lastRunNumber, run);
        });
      });
    });
  }
}
