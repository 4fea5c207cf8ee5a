import type { SubmissionRate } from '../organisation/mod.js';
import type { OrganisationConfig } from '../port/mod.js';
import { RESOURCES } from './_ResourceAmount.js';
import type { CapGuard } from './CapGuard.js';
import type { OrganisationStanding } from './OrganisationStanding.js';
import type { ScheduledStep } from './ScheduledStep.js';
import type { ShardOutput } from './ShardCommand.js';

/** Interval in ms at which the measurements are published. */
const INTERVAL_MS = 1_000;

/** Collaborators of an `OrganisationMeter`. */
export interface OrganisationMeterParts {
  guard: CapGuard;
  rate: SubmissionRate;
  standing: OrganisationStanding;
  output: ShardOutput;
}

/** Publishes the use, the waiting jobs and the shares of each organisation once a second. */
export class OrganisationMeter {
  readonly #guard: CapGuard;

  readonly #rate: SubmissionRate;

  readonly #standing: OrganisationStanding;

  readonly #output: ShardOutput;

  #publishedAt = -Infinity;

  constructor({ guard, rate, standing, output }: OrganisationMeterParts) {
    this.#guard = guard;
    this.#rate = rate;
    this.#standing = standing;
    this.#output = output;
  }

  /** Publishes the measurements if they are due. */
  publish(
    organisations: readonly OrganisationConfig[],
    waiting: ReadonlyMap<string, readonly ScheduledStep[]>,
    now: number,
  ): void {
    if (now - this.#publishedAt < INTERVAL_MS) return;
    this.#publishedAt = now;
    const waitingJobs = OrganisationMeter.#countWaiting(waiting);
    organisations.forEach(({ name: organisation, cap }) => {
      const use = this.#guard.measure(organisation);
      RESOURCES.forEach((resource) => {
        if (cap[resource] === 0) return;
        const value = use[resource] / cap[resource];
        this.#publishOne('organisation_cap_used', value, { organisation, resource });
      });
      this.#publishOne('organisation_waiting_jobs', waitingJobs.get(organisation) ?? 0, {
        organisation,
      });
      this.#publishOne('organisation_jobs_beyond_rate', this.#rate.countBeyond(organisation), {
        organisation,
      });
      waiting.forEach((_, pool) => {
        const share = this.#standing.measureShare(organisation, pool);
        this.#publishOne('organisation_pool_share', share, { organisation, pool });
      });
    });
  }

  static #countWaiting(
    waiting: ReadonlyMap<string, readonly ScheduledStep[]>,
  ): Map<string, number> {
    const jobs = new Set([...waiting.values()].flat().map(({ occurrence }) => occurrence.job));
    const counts = new Map<string, number>();
    jobs.forEach(({ tracked: { organisation } }) => {
      if (organisation === undefined) return;
      counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
    });
    return counts;
  }

  #publishOne(name: string, value: number, labels: Record<string, string>): void {
    this.#output.publish({ name, value, labels });
  }
}
