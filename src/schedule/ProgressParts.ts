import type { ProgressPart } from '../workLog/mod.js';
import { describeStep } from './describeStep.js';
import type { ScheduledStep } from './ScheduledStep.js';
import type { WorkUnit } from './WorkUnit.js';

/**
 * Number of tasks whose progress is one part. A part has at most two runs a task, at some 25 bytes
 * each, so it stays well below the size of a record.
 */
const TASKS_PER_PART = 500;

/**
 * The progress of an occurrence in parts of 500 tasks, in the order of its steps, for a job whose
 * progress does not fit into one record. Only the parts that have changed are recorded again.
 */
export class ProgressParts {
  readonly #steps: readonly ScheduledStep[];

  /** Position of the first task of each step among the tasks of all steps. */
  readonly #positions: number[] = [];

  readonly #changed = new Set<number>();

  /** Parts that have been recorded, by this owner or an earlier one. */
  readonly #recorded = new Set<number>();

  constructor(steps: readonly ScheduledStep[]) {
    this.#steps = steps;
  }

  /** Parts that have been recorded. */
  get recorded(): readonly number[] {
    return [...this.#recorded];
  }

  /** Marks the parts with the tasks of a unit as changed. */
  mark({ step, indexes }: WorkUnit): void {
    const first = this.#findPart(step, indexes[0] ?? 0);
    const last = this.#findPart(step, indexes.at(-1) ?? 0);
    for (let part = first; part <= last; part += 1) this.#changed.add(part);
  }

  /** Marks the parts of all units that have state or are done as changed. */
  markAll(): void {
    this.#steps.forEach((step) => {
      [...step.units.known].forEach((unit) => this.mark(unit));
      step.units.listDone().forEach((index) => this.#changed.add(this.#findPart(step, index)));
    });
  }

  /** Adds a part that an earlier owner has recorded. */
  addRecorded(part: number): void {
    this.#recorded.add(part);
  }

  /** Returns the changed parts, and clears the set. */
  takeChanged(): number[] {
    const changed = [...this.#changed];
    changed.forEach((part) => this.#recorded.add(part));
    this.#changed.clear();
    return changed;
  }

  /** Describes the steps that have tasks in a part; runs of done tasks only if `keepsRuns` is set. */
  describe(part: number, keepsRuns: boolean): ProgressPart['steps'] {
    const from = part * TASKS_PER_PART;
    const to = from + TASKS_PER_PART;
    return this.#steps.flatMap((step) => {
      const position = this.#findPosition(step);
      if (position >= to || position + step.spec.count <= from) return [];
      const range = { from: Math.max(0, from - position), to: to - position };
      const { done, ...described } = describeStep(step, { ...range, keepsRuns });
      return [{ step: step.index, done: ProgressParts.#groupRanges(done), ...described }];
    });
  }

  #findPart(step: ScheduledStep, task: number): number {
    return Math.floor((this.#findPosition(step) + task) / TASKS_PER_PART);
  }

  #findPosition({ index }: ScheduledStep): number {
    if (this.#positions.length === 0) {
      let position = 0;
      this.#steps.forEach(({ spec }) => {
        this.#positions.push(position);
        position += spec.count;
      });
    }
    return this.#positions[index] ?? 0;
  }

  /** Groups ascending indexes into pairs of the first and the last one of each range. */
  static #groupRanges(indexes: readonly number[]): [number, number][] {
    const ranges: [number, number][] = [];
    indexes.forEach((index) => {
      const last = ranges.at(-1);
      if (last !== undefined && last[1] === index - 1) last[1] = index;
      else ranges.push([index, index]);
    });
    return ranges;
  }
}
