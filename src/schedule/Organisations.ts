import { SubmissionRate } from '../organisation/mod.js';
import type { Configuration, OrganisationConfig } from '../port/mod.js';
import type { TrackedJob } from '../workLog/mod.js';
import { CapGuard } from './CapGuard.js';
import { CapRound } from './CapRound.js';
import { EntitledDemand } from './EntitledDemand.js';
import { FullPools } from './FullPools.js';
import type { HostTable } from './HostTable.js';
import { InheritedUse } from './InheritedUse.js';
import type { ManagedHost } from './ManagedHost.js';
import { OrganisationLog } from './OrganisationLog.js';
import { OrganisationMeter } from './OrganisationMeter.js';
import { OrganisationStanding } from './OrganisationStanding.js';
import { OrganisationUse } from './OrganisationUse.js';
import type { PreviousOwners } from './PreviousOwners.js';
import type { ScheduledStep } from './ScheduledStep.js';
import type { ShardOptions } from './ShardOptions.js';
import type { ShardOutput } from './ShardCommand.js';
import type { Takeover } from './Takeover.js';
import type { WorkUnit } from './WorkUnit.js';

/** Collaborators of an `Organisations`. */
export interface OrganisationsParts {
  hosts: HostTable;
  previousOwners: PreviousOwners;
  output: ShardOutput;
}

/**
 * The organisations of a shard: what each of them uses, what it may start, and what it is entitled
 * to. In a deployment without organisations nothing is held, deferred or left out.
 */
export class Organisations {
  /** Resources of the runs known to the owner. */
  readonly use = new OrganisationUse();

  readonly guard: CapGuard;

  readonly standing: OrganisationStanding;

  readonly demand: EntitledDemand;

  readonly #claimOffset: number;

  readonly #rate: SubmissionRate;

  readonly #inherited: InheritedUse;

  readonly #fullPools = new FullPools();

  readonly #log: OrganisationLog;

  readonly #meter: OrganisationMeter;

  #capRound: CapRound;

  /** Before the first configuration no cap is known. */
  #hasConfiguration = false;

  /** Undefined if the deployment has no organisations. */
  #organisations: readonly OrganisationConfig[] | undefined;

  constructor(
    { token, claimOffset }: Takeover,
    { rateWindowMs, capOvershoot, maxLeaseMs }: ShardOptions,
    { hosts, previousOwners, output }: OrganisationsParts,
  ) {
    this.#claimOffset = claimOffset;
    const { use } = this;
    const rate = new SubmissionRate(rateWindowMs);
    const inherited = new InheritedUse({ token, hosts, previousOwners, maxLeaseMs });
    const guard = new CapGuard({ use, inherited, overshoot: capOvershoot });
    this.#rate = rate;
    this.#inherited = inherited;
    this.guard = guard;
    this.#capRound = new CapRound(guard);
    this.standing = new OrganisationStanding({ use, rate });
    this.demand = new EntitledDemand({ guard, rate });
    this.#log = new OrganisationLog(output);
    this.#meter = new OrganisationMeter({ guard, rate, standing: this.standing, output });
  }

  /** The deployment has organisations. */
  get isConfigured(): boolean {
    return this.#organisations !== undefined;
  }

  /** Applies the current configuration. */
  applyConfiguration({ organisations }: Configuration): void {
    this.#hasConfiguration = true;
    this.#organisations = organisations;
    this.guard.setCaps(organisations ?? []);
    this.standing.setWeights(organisations ?? []);
    organisations?.forEach(({ name, jobsPerS }) => this.#rate.setRate(name, jobsPerS));
  }

  /** Records submissions before their jobs are added, so that no verdict on them changes later. */
  recordSubmissions(jobs: readonly TrackedJob[]): void {
    // Each submission in order of time takes constant time.
    [...jobs]
      .sort((one, other) => one.submittedAtMs - other.submittedAtMs)
      .forEach((job) => this.#recordSubmission(job));
  }

  /** Adds a job of the work log, finished or not. */
  addJob(tracked: TrackedJob, { now, nowWallMs }: { now: number; nowWallMs: number }): void {
    const { organisation, acceptedOffset } = tracked;
    if (organisation === undefined) return;
    this.#recordSubmission(tracked);
    this.#inherited.addJob(tracked, nowWallMs);
    if (this.demand.isWithinRate(tracked) || acceptedOffset <= this.#claimOffset) return;
    const config = this.#organisations?.find(({ name }) => name === organisation);
    if (config !== undefined) this.#log.recordBeyondRate(organisation, config.jobsPerS, now);
  }

  /** Removes a job that is removed from the work log. */
  removeJob(id: string): void {
    this.#rate.remove(id);
  }

  /** Determines the use and the waiting work before a round of starts in a pool. */
  prepareRound(
    pool: string,
    { steps, hosts }: { steps: readonly ScheduledStep[]; hosts: readonly ManagedHost[] },
    now: number,
  ): void {
    this.#inherited.update(now);
    this.#capRound = new CapRound(this.guard);
    if (!this.isConfigured) return;
    const waiting = new Set<string>();
    steps.forEach(({ occurrence }) => {
      const { organisation } = occurrence.job.tracked;
      if (organisation !== undefined) waiting.add(organisation);
    });
    this.standing.updatePool(pool, { waiting, hosts });
  }

  /** Checks whether the cap of its organisation lets a unit start, and logs a hold. */
  canStart(unit: WorkUnit, now: number): boolean {
    const { organisation } = unit.step.occurrence.job.tracked;
    if (organisation !== undefined && !this.#hasConfiguration) return false;
    const hold = this.#capRound.findHold(unit);
    if (hold !== undefined) this.#log.recordHold(unit.step.occurrence.job, hold, now);
    return hold === undefined;
  }

  /** Records that a unit found no room; units with special requirements do not show a full pool. */
  reportNoRoom({ spec, step }: WorkUnit, now: number): void {
    const { requiredLabel, maxPerHost, gang } = spec;
    if (requiredLabel !== undefined || maxPerHost !== undefined || gang) return;
    this.#fullPools.report(step.occurrence.job.queue.pool, now);
  }

  /** Lists the pools without capacity for jobs beyond the rate; undefined without organisations. */
  listFullPools(now: number): readonly string[] | undefined {
    return this.isConfigured ? this.#fullPools.list(now) : undefined;
  }

  /** Logs the states that have ended, and publishes the measurements. */
  report(waiting: ReadonlyMap<string, readonly ScheduledStep[]>, now: number): void {
    if (this.#organisations === undefined) return;
    // Without waiting work there is no round of starts that updates it.
    this.#inherited.update(now);
    this.#log.update(now);
    this.#meter.publish(this.#organisations, waiting, now);
  }

  #recordSubmission({ organisation, id, submittedAtMs }: TrackedJob): void {
    if (organisation !== undefined) this.#rate.record(organisation, id, submittedAtMs);
  }
}
