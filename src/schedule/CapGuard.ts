import type { Capacity, OrganisationConfig, ResourceCap } from '../port/mod.js';
import {
  addResources,
  computeTaskUse,
  NO_RESOURCES,
  RESOURCES,
  type Resource,
} from './_ResourceAmount.js';
import type { InheritedUse } from './InheritedUse.js';
import type { OrganisationUse } from './OrganisationUse.js';
import type { WorkUnit } from './WorkUnit.js';

/** An organisation below this fraction of its cap is not held, even if a large task exceeds it. */
const UNHELD_FRACTION = 0.5;

/** Why a unit may not start: the resource and the limit that its start would exceed. */
export interface CapHold {
  organisation: string;
  resource: Resource;
  /** Amounts in use, needed by the unit and permitted, in the unit of the resource. */
  use: number;
  needed: number;
  limit: number;
  /** The limit is the cap, or the use when contact with the store was lost. */
  reason: 'cap' | 'no-store';
}

/** Collaborators of a `CapGuard`. */
export interface CapGuardParts {
  use: OrganisationUse;
  inherited: InheritedUse;
  /** Fraction by which a start may exceed the cap, plus one task. */
  overshoot: number;
}

/**
 * Decides whether the cap of an organisation lets a task start, or all tasks of a gang.
 *
 * A start may bring the use up to the cap. While the use of every resource is below half of the cap,
 * a single task may exceed it, and a gang may exceed it by the overshoot plus one of its tasks: a
 * task or gang that is large compared with the cap could otherwise never start. A cap that is
 * lowered below the use stops nothing.
 *
 * @example
 * ```ts
 * if (capGuard.findHold(unit) === undefined) start(unit);
 * ```
 */
export class CapGuard {
  readonly #use: OrganisationUse;

  readonly #inherited: InheritedUse;

  readonly #overshoot: number;

  /** Caps that limit at least one resource, by organisation. */
  readonly #caps = new Map<string, ResourceCap>();

  /** Use of each organisation when contact with the store was lost; undefined with contact. */
  #ceilings: Map<string, Readonly<Capacity>> | undefined;

  constructor({ use, inherited, overshoot }: CapGuardParts) {
    this.#use = use;
    this.#inherited = inherited;
    this.#overshoot = overshoot;
  }

  /**
   * Applies the caps of the current configuration. An organisation that has been removed keeps its
   * last cap, since its accepted jobs continue to run.
   */
  setCaps(organisations: readonly OrganisationConfig[]): void {
    organisations.forEach(({ name, cap }) => {
      if (RESOURCES.some((resource) => cap[resource] > 0)) this.#caps.set(name, cap);
      else this.#caps.delete(name);
    });
  }

  /**
   * Sets whether a later owner may exist that knows only the recorded runs. From the beginning of
   * that state on, the use of no organisation rises above its value then.
   */
  setDetached(isDetached: boolean): void {
    if (!isDetached) this.#ceilings = undefined;
    else this.#ceilings ??= new Map([...this.#caps.keys()].map((one) => [one, this.measure(one)]));
  }

  /** Measures the resources that an organisation may have in use. */
  measure(organisation: string): Readonly<Capacity> {
    const own = this.#use.measure(organisation);
    const inherited = this.#inherited.get(organisation);
    return inherited === undefined ? own : addResources(own, inherited);
  }

  /** Returns the cap of an organisation; undefined if it has none. */
  getCap(organisation: string): ResourceCap | undefined {
    return this.#caps.get(organisation);
  }

  /** Finds the limit that prevents the start of a unit; undefined if it may start. */
  findHold({ spec, indexes, step }: WorkUnit): CapHold | undefined {
    const { organisation } = step.occurrence.job.tracked;
    const cap = organisation === undefined ? undefined : this.#caps.get(organisation);
    if (organisation === undefined || cap === undefined) return undefined;
    const amounts = this.measure(organisation);
    const ceiling = this.#ceilings && (this.#ceilings.get(organisation) ?? NO_RESOURCES);
    const task = computeTaskUse(spec);
    const isUnheld = CapGuard.#isBelowHalf(amounts, cap);
    for (const resource of RESOURCES) {
      const needed = indexes.length * task[resource];
      // A task that does not use a resource may start while another cap is exceeded.
      if (cap[resource] === 0 || needed === 0) continue;
      const use = amounts[resource];
      const limit = isUnheld
        ? cap[resource] * (1 + this.#overshoot) + task[resource]
        : cap[resource];
      const hold = { organisation, resource, use, needed };
      if (use + needed > limit) return { ...hold, limit, reason: 'cap' };
      const ceilingAmount = ceiling?.[resource] ?? Infinity;
      if (use + needed > ceilingAmount)
        return { ...hold, limit: ceilingAmount, reason: 'no-store' };
    }
    return undefined;
  }

  static #isBelowHalf(use: Readonly<Capacity>, cap: ResourceCap): boolean {
    return RESOURCES.every((one) => cap[one] === 0 || use[one] < UNHELD_FRACTION * cap[one]);
  }
}
