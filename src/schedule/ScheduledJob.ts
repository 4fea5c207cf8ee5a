import {
  collectOccurrences,
  type JobProgress,
  type ProgressPart,
  type ProgressPartId,
  type StepProgress,
  type TrackedJob,
} from '../workLog/mod.js';
import type { QueueConfig } from '../port/mod.js';
import { describeStep } from './describeStep.js';
import { Occurrence } from './Occurrence.js';
import type { Run } from './Run.js';
import type { WorkUnit } from './WorkUnit.js';

/** Final state of a job. */
export type FinalState = 'completed' | 'failed' | 'cancelled';

/**
 * Maximum number of steps of all open occurrences of a job, which bounds the memory of a recurring
 * job whose occurrences are due faster than they finish. Further occurrences are opened later.
 */
const MAX_OPEN_STEPS = 1_000;

/** Parts of the progress to record, and those to remove afterwards. */
export interface PartChanges {
  changed: ProgressPart[];
  obsolete: ProgressPartId[];
}

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

  /** Recorded parts of finished occurrences, which are not needed any more. */
  #obsoleteParts: ProgressPartId[] = [];

  #isSplit = false;

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
    this.#restore(tracked);
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

  /** The progress is recorded in parts, since it did not fit into one record. */
  get isSplit(): boolean {
    return this.#isSplit;
  }

  /** Records the progress in parts from now on. */
  split(): void {
    this.#isSplit = true;
    this.#listRecordedOccurrences().forEach(({ parts }) => parts.markAll());
  }

  /** Marks the progress of a unit as changed since it was last recorded. */
  markChanged(unit: WorkUnit): void {
    if (this.#isSplit) unit.step.occurrence.parts.mark(unit);
  }

  /** Returns the changes of the parts since the last call. */
  takePartChanges(): PartChanges {
    const recorded = this.#listRecordedOccurrences();
    const changed = recorded.flatMap(({ number, parts }) =>
      parts.takeChanged().map((part) => ({
        occurrence: number,
        part,
        steps: parts.describe(part, this.#hasOrganisation),
      })),
    );
    const obsolete = this.#obsoleteParts;
    this.#obsoleteParts = [];
    return { changed, obsolete };
  }

  /** Describes the progress of the job for the work log, without its parts if it is split. */
  describeProgress(token: number): JobProgress {
    return {
      token,
      state: this.finalState ?? 'active',
      hasBegun: this.hasBegun,
      ...(this.reason === undefined ? {} : { reason: this.reason }),
      ...(this.endedAtMs === undefined ? {} : { endedAtMs: this.endedAtMs }),
      finishedBelow: this.#finishedBelow,
      finished: [...this.#finished],
      ...(this.#isSplit ? { isSplit: true } : {}),
      occurrences: this.#isSplit
        ? []
        : this.#listRecordedOccurrences().map((one) => this.#describeOccurrence(one)),
    };
  }

  /**
   * Lists the occurrences that have started. Finished ones, and those of a finished job, are recorded
   * only if the job has an organisation: the runs that are still stopping count against its cap at a
   * later owner, too.
   */
  #listRecordedOccurrences(): Occurrence[] {
    this.#pruneEnded();
    const started = [...this.occurrences.values()].filter(({ hasStarted }) => hasStarted);
    if (this.#hasOrganisation) return [...this.#ended, ...started];
    return this.finalState === undefined ? started : [];
  }

  /** Drops the finished occurrences that need not be recorded any more; their parts are removed. */
  #pruneEnded(): void {
    this.#ended = this.#ended.filter((one) => {
      if (one.hasRuns && this.#hasOrganisation) return true;
      const { number, parts } = one;
      this.#obsoleteParts.push(...parts.recorded.map((part) => ({ occurrence: number, part })));
      return false;
    });
  }

  get #hasOrganisation(): boolean {
    return this.tracked.organisation !== undefined;
  }

  #describeOccurrence({ number, steps }: Occurrence): JobProgress['occurrences'][number] {
    return {
      number,
      steps: steps.map((step) => describeStep(step, { keepsRuns: this.#hasOrganisation })),
    };
  }

  #openOccurrence(number: number): Occurrence {
    const occurrence = new Occurrence(this, number, this.computeScheduledTime(number));
    this.occurrences.set(number, occurrence);
    return occurrence;
  }

  #restore(tracked: TrackedJob): void {
    // The parts are decoded at each access.
    const { progress, progressParts = [], spec } = tracked;
    if (progress === undefined) return;
    this.hasBegun = progress.hasBegun;
    this.#isSplit = progress.isSplit === true;
    this.#finishedBelow = progress.finishedBelow;
    progress.finished.forEach((number) => this.#finished.add(number));
    if (progress.state !== 'active') this.finalState = progress.state;
    collectOccurrences({ progress, progressParts, spec }).forEach(({ number, steps }) => {
      // Only the use of the organisation depends on the runs of a finished occurrence.
      if (!this.#isFinished(number)) this.#restoreOccurrence(number, steps);
    });
    progressParts.forEach(({ occurrence, part }) => {
      const known = this.occurrences.get(occurrence);
      if (known === undefined) this.#obsoleteParts.push({ occurrence, part });
      else known.parts.addRecorded(part);
    });
  }

  #isFinished(number: number): boolean {
    return number < this.#finishedBelow || this.#finished.has(number);
  }

  #restoreOccurrence(number: number, steps: readonly StepProgress[]): void {
    const occurrence = this.#openOccurrence(number);
    occurrence.hasStarted = true;
    steps.forEach(({ done, failed, started }, index) => {
      const step = occurrence.steps[index];
      if (step === undefined) return;
      done.forEach((one) => {
        const [first, last] = typeof one === 'number' ? [one, one] : one;
        for (let task = first; task <= Math.min(last, step.spec.count - 1); task += 1) {
          const unit = step.findUnit(task);
          if (unit?.isDone === false) unit.finish();
        }
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
  }
}
