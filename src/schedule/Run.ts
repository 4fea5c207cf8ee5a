import type { ActiveRun } from '../port/mod.js';
import type { ManagedHost } from './ManagedHost.js';
import { RunProgress } from './RunProgress.js';
import type { WorkUnit } from './WorkUnit.js';

/** State of a run as known to the owner. */
export type RunState =
  /** The start was ordered and has not been answered. */
  | 'starting'
  | 'running'
  /** A stop was ordered; the resources are released when the host reports the end. */
  | 'stopping'
  /** The start order was not answered and may still be executed. */
  | 'uncertain';

/** One run of a task on a host. It occupies the task's resources until it has provably ended. */
export class Run {
  state: RunState = 'starting';

  /** When the start was ordered, in ms on the owner's monotonic clock. */
  readonly orderedAt: number;

  /** When the host confirmed the start. */
  startedAt: number | undefined;

  /** When the run was last known to be on the host. */
  seenAt: number;

  /** Number of reports on holds sent after `seenAt` that did not list the run. */
  missedReports = 0;

  /** When a stop order was answered. */
  stopAnsweredAt: number | undefined;

  /** When a stop was last ordered. */
  stopOrderedAt: number | undefined;

  /** Latest reported checkpoint; empty if there is none. */
  checkpoint = '';

  /** When the latest checkpoint was first reported. */
  #checkpointAt: number | undefined;

  /**
   * Percentage in the last report, from 0 to 100: the share of full speed at which a long-running
   * task works, or the share of its work that any other task has completed.
   */
  percent = 0;

  /** Progress of a task that is not long-running. */
  readonly progress = new RunProgress();

  /** Tail latency in ms for a task with a latency target; otherwise the millicores in use. */
  load = 0;

  /** CPU share last confirmed by the host, from 0 to 100. */
  pace = 100;

  /** A change of the pace was ordered and has not been answered. */
  isPacePending = false;

  #isKnownGood = false;

  /** Monotonic time in ms from which reported percentages are valid. */
  #percentValidAt = 0;

  #isAdopted = false;

  constructor(
    readonly unit: WorkUnit,
    readonly index: number,
    readonly task: string,
    readonly number: number,
    readonly host: ManagedHost,
    now: number,
  ) {
    this.orderedAt = now;
    this.seenAt = now;
  }

  /**
   * Marks the run as started by a previous owner. That owner may have ordered a stop, and hosts
   * report full speed until a stop is over, so percentages are ignored until it must be over.
   */
  adopt(percentValidAt: number): void {
    this.#percentValidAt = percentValidAt;
    this.#isAdopted = true;
  }

  /** The run is long-running and has been reported as a good one. */
  get isKnownGood(): boolean {
    return this.#isKnownGood;
  }

  /** Marks the long-running run as reported. */
  markKnownGood(): void {
    this.#isKnownGood = true;
  }

  /** Computes the age of the run in ms; undefined if a previous owner started it. */
  computeAge(now: number): number | undefined {
    if (this.#isAdopted || this.startedAt === undefined) return undefined;
    return now - this.startedAt;
  }

  /** Computes for how long in ms the run has worked since its latest checkpoint. */
  computeUnsavedMs(now: number): number {
    return Math.max(0, now - (this.#checkpointAt ?? this.startedAt ?? now));
  }

  /** Marks the run as confirmed by the host. */
  confirm(now: number): void {
    // A stop that was ordered while the start was uncertain remains in effect.
    if (this.state === 'starting' || this.state === 'uncertain') {
      this.state = this.stopOrderedAt === undefined ? 'running' : 'stopping';
    }
    this.startedAt ??= now;
    this.seenAt = now;
    this.missedReports = 0;
  }

  /** Marks the start as unanswered; the next report shows whether the run exists. */
  markUncertain(): void {
    if (this.state === 'starting') this.state = 'uncertain';
  }

  /** Records that a stop was ordered. */
  recordStop(now: number): void {
    if (this.state !== 'uncertain') this.state = 'stopping';
    this.stopOrderedAt = now;
  }

  /** Withdraws the answer to a stop: the host has restarted and does not know of the stop. */
  withdrawStopAnswer(): void {
    this.stopAnsweredAt = undefined;
  }

  /**
   * Checks whether the host had confirmed the start before a given time, so that a report on a hold
   * sent then lists the run if it still exists.
   */
  isConfirmedBefore(sentAt: number): boolean {
    return this.startedAt !== undefined && this.seenAt < sentAt;
  }

  /** Applies the entry of the run in a host report. */
  update({ checkpoint, percent, load }: ActiveRun, now: number): void {
    this.confirm(now);
    if (checkpoint !== this.checkpoint) this.#checkpointAt = now;
    this.checkpoint = checkpoint;
    this.percent = now >= this.#percentValidAt ? percent : 0;
    this.load = load;
  }

  /** Counts a report that does not list the run; returns the number of consecutive ones. */
  recordMissedReport(): number {
    this.missedReports += 1;
    return this.missedReports;
  }

  /** Records the pace in effect after a response, or a pending change if `pace` is undefined. */
  setPace(pace: number | undefined): void {
    this.isPacePending = pace === undefined;
    this.pace = pace ?? this.pace;
  }

  /** Checks whether a long-running task works at full speed. */
  get isAtFullSpeed(): boolean {
    return this.state === 'running' && this.percent >= 100;
  }
}
