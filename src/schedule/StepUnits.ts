import { IndexSet } from './_IndexSet.js';
import type { ScheduledStep } from './ScheduledStep.js';
import { WorkUnit } from './WorkUnit.js';

/**
 * The units of a step. A unit is created when it is about to start or a host names it, and is
 * dropped once it is done and has no runs: a step may have ten thousand tasks, and objects for the
 * tasks of all steps of a large job do not fit into the memory of a node.
 *
 * @example
 * ```ts
 * for (const unit of step.units.listWaiting()) if (!start(unit)) break;
 * ```
 */
export class StepUnits {
  readonly #step: ScheduledStep;

  /** Units with state, by the index of their first task: unfinished ones, and done ones with runs. */
  readonly #known = new Map<number, WorkUnit>();

  /** Number of done units in `#known`. */
  #doneKnown = 0;

  readonly #done: IndexSet;

  /** All units below this index are known or done. */
  #nextNew = 0;

  constructor(step: ScheduledStep) {
    this.#step = step;
    this.#done = new IndexSet(this.size);
  }

  /** Number of units. */
  get size(): number {
    const { gang, count } = this.#step.spec;
    return gang ? 1 : count;
  }

  /** Number of units that are not done. */
  get remaining(): number {
    return this.size - this.#done.size;
  }

  /** Units with state; all others wait for their first start or are done. */
  get known(): IterableIterator<WorkUnit> {
    return this.#known.values();
  }

  /** Number of units that have no state yet. */
  get newCount(): number {
    return this.remaining - (this.#known.size - this.#doneKnown);
  }

  get hasWaiting(): boolean {
    if (this.newCount > 0) return true;
    for (const unit of this.#known.values()) if (unit.isWaiting) return true;
    return false;
  }

  /** Counts the tasks of the units that are unfinished and have no run. */
  countWaitingTasks(): number {
    const tasksPerUnit = this.#step.spec.gang ? this.#step.spec.count : 1;
    return tasksPerUnit * this.countWaiting(() => true);
  }

  /** Counts the waiting units for which a condition holds; it holds for all units without state. */
  countWaiting(condition: (unit: WorkUnit) => boolean): number {
    let count = this.newCount;
    this.#known.forEach((unit) => {
      if (unit.isWaiting && condition(unit)) count += 1;
    });
    return count;
  }

  /** Finds the unit that contains a task; undefined if the step has no such task. */
  find(task: number): WorkUnit | undefined {
    if (task >= this.#step.spec.count) return undefined;
    const index = this.#step.spec.gang ? 0 : task;
    const known = this.#known.get(index);
    if (known !== undefined) return known;
    if (!this.#done.has(index)) return this.#create(index);
    const unit = this.#build(index);
    unit.isDone = true;
    return unit;
  }

  /**
   * Lists the waiting units. Those with state come first, so that the number of units with
   * state stays near the number of those that run.
   */
  *listWaiting(): Generator<WorkUnit> {
    yield* [...this.#known.values()].filter((unit) => unit.isWaiting);
    for (; this.#nextNew < this.size; this.#nextNew += 1) {
      const index = this.#nextNew;
      if (!this.#known.has(index) && !this.#done.has(index)) yield this.#create(index);
    }
  }

  /** Marks a unit as done. */
  finish(unit: WorkUnit): void {
    const index = unit.indexes[0] ?? 0;
    if (this.#done.has(index)) return;
    this.#done.add(index);
    if (this.#known.has(index)) this.#doneKnown += 1;
    this.prune(unit);
  }

  /** Drops a unit that is done and has no runs. */
  prune(unit: WorkUnit): void {
    const index = unit.indexes[0] ?? 0;
    if (!unit.isDone || unit.runs.size > 0 || unit.inheritedRuns.length > 0) return;
    if (this.#known.get(index) !== unit) return;
    this.#known.delete(index);
    this.#doneKnown -= 1;
  }

  /** Lists the first tasks of the done units, with indexes from `from` up to, and without, `to`. */
  listDone(from = 0, to = this.size): number[] {
    return this.#done.list(from, Math.min(to, this.size));
  }

  #create(index: number): WorkUnit {
    const unit = this.#build(index);
    this.#known.set(index, unit);
    return unit;
  }

  #build(index: number): WorkUnit {
    const { gang, count } = this.#step.spec;
    const indexes = gang ? Array.from({ length: count }, (_, task) => task) : [index];
    return new WorkUnit(this.#step, indexes);
  }
}
