import type { SubmissionRate } from '../organisation/mod.js';
import type { Capacity, ResourceCap } from '../port/mod.js';
import type { TrackedJob } from '../workLog/mod.js';
import { addResources, computeTaskUse, NO_RESOURCES, RESOURCES } from './_ResourceAmount.js';
import type { CapGuard } from './CapGuard.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Collaborators of an `EntitledDemand`. */
export interface EntitledDemandParts {
  guard: CapGuard;
  rate: SubmissionRate;
}

function computeWaitingUse({ units, spec }: ScheduledStep): Capacity {
  return addResources(NO_RESOURCES, computeTaskUse(spec), units.countWaitingTasks());
}

/**
 * Decides which part of the work of an organisation counts as demand for hosts: none of the jobs
 * beyond its rate, and of the others the part for which its cap leaves room. Work that does not
 * count neither makes a pool overloaded nor moves a host.
 *
 * If more work is waiting than the cap leaves room for, each step counts in the same proportion,
 * since the owner does not know yet in which pool the room will be used.
 */
export class EntitledDemand {
  readonly #guard: CapGuard;

  readonly #rate: SubmissionRate;

  /** Waiting use of each capped organisation as of the last update, plus later arrivals. */
  #waiting = new Map<string, Capacity>();

  /** Part of the waiting work of each capped organisation that counts. */
  #parts = new Map<string, number>();

  constructor({ guard, rate }: EntitledDemandParts) {
    this.#guard = guard;
    this.#rate = rate;
  }

  /** Checks whether a job was submitted within the rate of its organisation. */
  isWithinRate({ id, organisation }: TrackedJob): boolean {
    return organisation === undefined || this.#rate.isWithin(id);
  }

  /** Returns the millicores that an organisation may use in all pools; `Infinity` without a cap. */
  getCpuLimit(organisation: string | undefined): number {
    const cap = organisation === undefined ? undefined : this.#guard.getCap(organisation);
    return cap === undefined || cap.cpuMilli === 0 ? Infinity : cap.cpuMilli;
  }

  /** Measures the waiting work of all organisations, by pool. */
  update(waiting: ReadonlyMap<string, readonly ScheduledStep[]>): void {
    this.#waiting = new Map();
    waiting.forEach((steps) => steps.forEach((step) => this.#addWaiting(step)));
    this.#parts = new Map();
    this.#waiting.forEach((amount, organisation) => {
      const cap = this.#guard.getCap(organisation);
      if (cap === undefined) return;
      const used = this.#guard.measure(organisation);
      this.#parts.set(organisation, EntitledDemand.#computePart(cap, used, amount));
    });
  }

  /** Returns the part of the waiting work of a step that counts as of the last update, 0 to 1. */
  getPart({ occurrence }: ScheduledStep): number {
    const { tracked } = occurrence.job;
    if (!this.isWithinRate(tracked)) return 0;
    return tracked.organisation === undefined ? 1 : (this.#parts.get(tracked.organisation) ?? 1);
  }

  /** Adds an arriving job and returns the part of its work that counts, from 0 to 1. */
  addArrival(tracked: TrackedJob): number {
    const { organisation, spec } = tracked;
    if (!this.isWithinRate(tracked)) return 0;
    const cap = organisation === undefined ? undefined : this.#guard.getCap(organisation);
    if (organisation === undefined || cap === undefined) return 1;
    const needed = spec.steps
      .filter(({ after }) => after.length === 0)
      .reduce((sum, step) => addResources(sum, computeTaskUse(step), step.count), NO_RESOURCES);
    const before = this.#waiting.get(organisation) ?? NO_RESOURCES;
    this.#waiting.set(organisation, addResources(before, needed));
    const used = addResources(this.#guard.measure(organisation), before);
    return EntitledDemand.#computePart(cap, used, needed);
  }

  #addWaiting(step: ScheduledStep): void {
    const { tracked } = step.occurrence.job;
    const { organisation } = tracked;
    if (organisation === undefined || this.#guard.getCap(organisation) === undefined) return;
    if (!this.isWithinRate(tracked)) return;
    const before = this.#waiting.get(organisation) ?? NO_RESOURCES;
    this.#waiting.set(organisation, addResources(before, computeWaitingUse(step)));
  }

  /** Computes the part of `needed` that fits between `used` and the cap. */
  static #computePart(
    cap: ResourceCap,
    used: Readonly<Capacity>,
    needed: Readonly<Capacity>,
  ): number {
    const parts = RESOURCES.filter((one) => cap[one] > 0 && needed[one] > 0).map(
      (one) => (cap[one] - used[one]) / needed[one],
    );
    return Math.max(0, Math.min(1, ...parts));
  }
}
