import type { ActiveRun } from '../port/mod.js';
import type { ManagedHost } from './ManagedHost.js';
import { RunProgress } from './RunProgress.js';
import type { WorkUnit } from './WorkUnit.js';

/** State of a run as the owner believes it. */
export type RunState =
  /** Ordered, not yet answered. */
  | 'starting'
  | 'running'
  /** A stop was ordered; the room is free when the host lists the end. */
  | 'stopping'
  /** The start was not answered and may still be carried out. */
  | 'uncertain';

/** One run of a task on a host. It holds the room of its task until it has ended for certain. */
export class Run {
  state: RunState = 'starting';

  /** When the order was given, on the owner's steady clock in ms. */
  readonly orderedAt: number;

  /** When the host confirmed it. */
  startedAt: number | undefined;

  /** When the host was last known to have it. */
  seenAt: number;

  /** Holds sent after `seenAt` that did not list the run. */
  missedReports = 0;

  /** When an answer to a stop came. */
  stopAnsweredAt: number | undefined;

  /** When the last stop was ordered. */
  stopOrderedAt: number | undefined;

  checkpoint = '';

  /**
   * Of a lasting task the share of its work speed, of another the share of its work that was done
   * when the host last listed it, 0 to 100.
   */
  percent = 0;

  /** How fast the work of a task that ends gets done. */
  readonly progress = new RunProgress();

  /** Tail latency in ms, or thousandths of a core in use. */
  load = 0;

  /** Share of the processor that it was last ordered to get, 0 to 100. */
  pace = 100;

  /** The pace has been ordered and not yet answered. */
  isPacePending = false;

  /** Steady time in ms from which the reported share of work holds. */
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
   * Marks the run as one of an earlier owner. That owner may have ordered its stop: until the stop
   * must be over, a report at full work says nothing.
   */
  adopt(percentValidAt: number): void {
    this.#percentValidAt = percentValidAt;
    this.#isAdopted = true;
  }

  /** Computes for how long the run has lasted, in ms; undefined when an earlier owner started it. */
  computeAge(now: number): number | undefined {
    if (this.#isAdopted || this.startedAt === undefined) return undefined;
    return now - this.startedAt;
  }

  /** Marks the run as confirmed by its host. */
  confirm(now: number): void {
    // A stop that was ordered while the start was in doubt stays in force.
    if (this.state === 'starting' || this.state === 'uncertain') {
      this.state = this.stopOrderedAt === undefined ? 'running' : 'stopping';
    }
    this.startedAt ??= now;
    this.seenAt = now;
    this.missedReports = 0;
  }

  /** Marks the start as not answered; the next report tells whether the run is there. */
  markUncertain(): void {
    if (this.state === 'starting') this.state = 'uncertain';
  }

  /** Records that a stop was ordered. */
  recordStop(now: number): void {
    if (this.state !== 'uncertain') this.state = 'stopping';
    this.stopOrderedAt = now;
  }

  /** Takes what the host lists of the run. */
  update({ checkpoint, percent, load }: ActiveRun, now: number): void {
    this.confirm(now);
    this.checkpoint = checkpoint;
    this.percent = now >= this.#percentValidAt ? percent : 0;
    this.load = load;
  }

  /** Counts a report that does not list the run; returns how many there were in a row. */
  recordMissedReport(): number {
    this.missedReports += 1;
    return this.missedReports;
  }

  /** Records a change of the pace: ordered, or answered with the pace in force. */
  setPace(pace: number | undefined): void {
    this.isPacePending = pace === undefined;
    this.pace = pace ?? this.pace;
  }

  /** Checks whether a lasting task is at full work. */
  get isAtFullSpeed(): boolean {
    return this.state === 'running' && this.percent >= 100;
  }
}
