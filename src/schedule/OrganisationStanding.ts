import type { SubmissionRate } from '../organisation/mod.js';
import type { Capacity, OrganisationConfig } from '../port/mod.js';
import { addResources, NO_RESOURCES, RESOURCES } from './_ResourceAmount.js';
import { CallerStanding } from './CallerStanding.js';
import type { ManagedHost } from './ManagedHost.js';
import type { OrganisationUse } from './OrganisationUse.js';
import type { ScheduledJob } from './ScheduledJob.js';

/** Relative tolerance of the comparison of fractions. */
const ROUNDING = 1e-9;
/**
 * An organisation is above its share from this multiple of its fair part on: jobs are indivisible and
 * arrive unevenly. docs/design/caps.md has the runs with other limits, which don't settle the value.
 */
const SHARE_TOLERANCE = 2;

/** Collaborators of an `OrganisationStanding`. */
export interface OrganisationStandingParts {
  use: OrganisationUse;
  rate: SubmissionRate;
}

/** What organisations compete for in a pool. */
interface PoolDemand {
  /** Resources of the available hosts. */
  capacity: Capacity;
  /** Sum of the weights of the organisations with waiting work. */
  weight: number;
  /** Organisations by whether they are above their share in this round. */
  above: Map<string, boolean>;
}

/**
 * Standing by rate and by weighted dominant resource fairness: the share of an organisation in a
 * pool is the largest fraction that it uses of any resource of the pool. Its fair part is its weight
 * among the organisations that have waiting work there; an organisation that uses
 * `SHARE_TOLERANCE` times as much counts as above its share. Jobs without an organisation are always
 * within the rate and never above a share.
 */
export class OrganisationStanding extends CallerStanding {
  readonly #use: OrganisationUse;

  readonly #rate: SubmissionRate;

  #weights: ReadonlyMap<string, number> = new Map();

  readonly #pools = new Map<string, PoolDemand>();

  constructor({ use, rate }: OrganisationStandingParts) {
    super();
    this.#use = use;
    this.#rate = rate;
  }

  /** Applies the weights of the current configuration. */
  setWeights(organisations: readonly OrganisationConfig[]): void {
    this.#weights = new Map(organisations.map(({ name, jobsPerS }) => [name, jobsPerS]));
    this.#pools.forEach(({ above }) => above.clear());
  }

  /** Sets the organisations that have waiting work in a pool, and the available hosts of the pool. */
  updatePool(
    pool: string,
    { waiting, hosts }: { waiting: ReadonlySet<string>; hosts: readonly ManagedHost[] },
  ): void {
    this.#pools.set(pool, {
      capacity: hosts.reduce((sum, host) => addResources(sum, host.capacity), NO_RESOURCES),
      weight: [...waiting].reduce((sum, one) => sum + (this.#weights.get(one) ?? 0), 0),
      above: new Map(),
    });
  }

  override isWithinRate({ tracked }: ScheduledJob): boolean {
    return tracked.organisation === undefined || this.#rate.isWithin(tracked.id);
  }

  override isAboveShare({ tracked }: ScheduledJob, pool: string): boolean {
    const { organisation } = tracked;
    const demand = this.#pools.get(pool);
    if (organisation === undefined || demand === undefined) return false;
    let isAbove = demand.above.get(organisation);
    if (isAbove === undefined) {
      const weight = this.#weights.get(organisation);
      isAbove =
        weight !== undefined &&
        demand.weight > 0 &&
        this.measureShare(organisation, pool) * demand.weight >=
          SHARE_TOLERANCE * weight * (1 - ROUNDING);
      demand.above.set(organisation, isAbove);
    }
    return isAbove;
  }

  /** Measures the share of a pool that an organisation uses, as a fraction. */
  measureShare(organisation: string, pool: string): number {
    const capacity = this.#pools.get(pool)?.capacity ?? NO_RESOURCES;
    const used = this.#use.measureInPool(organisation, pool);
    let share = 0;
    RESOURCES.forEach((one) => {
      if (capacity[one] > 0) share = Math.max(share, used[one] / capacity[one]);
    });
    return share;
  }
}
