import { ANY_DATA_CENTRE, type TrackedJob } from '../workLog/mod.js';
import type { HostTable } from './HostTable.js';
import { MAX_CLOCK_DRIFT } from './_HostLease.js';
import type { ManagedHost } from './ManagedHost.js';
import type { ShardOptions } from './ShardOptions.js';
import type { Takeover } from './Takeover.js';
import type { WorkUnit } from './WorkUnit.js';

/** Collaborators of a `PreviousOwners`. */
export interface PreviousOwnersParts {
  hosts: HostTable;
  /** Monotonic time of the takeover in ms. */
  startedAt: number;
}

/**
 * What previous owners of the shard may have running on hosts that this owner does not know
 * completely: hosts that have not responded to it, or whose reports have not contained all ends.
 *
 * @example
 * ```ts
 * const previousOwners = new PreviousOwners(takeover, options, { hosts, startedAt });
 * if (!previousOwners.canRun(unit, now)) start(unit);
 * ```
 */
export class PreviousOwners {
  readonly #takeover: Takeover;

  readonly #hosts: HostTable;

  /** Monotonic time until which unresponsive hosts may have runs of previous owners. */
  readonly reservedUntil: number;

  /** Time in ms after the takeover until which unresponsive hosts may have such runs. */
  readonly reservationMs: number;

  constructor(
    takeover: Takeover,
    options: ShardOptions,
    { hosts, startedAt }: PreviousOwnersParts,
  ) {
    this.#takeover = takeover;
    this.#hosts = hosts;
    const ordersMs = takeover.isHandover ? 0 : options.detachedLimitMs;
    this.reservationMs = (ordersMs + options.maxLeaseMs) * (1 + MAX_CLOCK_DRIFT);
    this.reservedUntil = startedAt + this.reservationMs;
  }

  /** Lists the data centres whose jobs may still have unrecorded runs of previous owners. */
  listUnrecorded(now: number): readonly string[] {
    return this.reservedUntil < now ? [] : this.#takeover.unrecorded;
  }

  /** Checks whether tasks of a job may have been started in a pool without being recorded. */
  canHaveStarted(tracked: TrackedJob, pool: string, now: number): boolean {
    return this.hasUnrecordedStarts(tracked) && this.#isPoolUnknown(pool, now);
  }

  /** Checks whether a recorded run of a unit may still exist on a host. */
  canRun(unit: WorkUnit, now: number): boolean {
    if (unit.inheritedRuns.length === 0) return false;
    // eslint-disable-next-line no-param-reassign -- the unit is owned by the shard
    unit.inheritedRuns = unit.inheritedRuns.filter(({ host }) => !this.isAccountedFor(host, now));
    return unit.inheritedRuns.length > 0;
  }

  /**
   * Checks whether tasks of a job may have been started without being recorded.
   *
   * A previous owner may have started the job as one of any data centre that accepted it: what it
   * had read when it lost contact with the store is a part of what this owner has read.
   */
  hasUnrecordedStarts({ acceptedOffset, dataCentres }: TrackedJob): boolean {
    const { claimOffset, isFirst, unrecorded } = this.#takeover;
    if (isFirst || acceptedOffset >= claimOffset) return false;
    return (
      unrecorded.includes(ANY_DATA_CENTRE) || dataCentres.some((one) => unrecorded.includes(one))
    );
  }

  /** Checks whether a host cannot have runs of previous owners that this owner does not know. */
  isAccountedFor(id: string, now: number): boolean {
    const host = this.#hosts.get(id);
    if (host?.hasHiddenEnds === true) return false;
    if (this.reservedUntil < now) return true;
    if (host !== undefined) return host.isFenced;
    // An incarnation that is on no machine has ended.
    return this.#hosts.machinesReadAt !== -Infinity;
  }

  /** Checks whether a host may have runs that this owner does not know. */
  hasUnknownRuns(host: ManagedHost, now: number): boolean {
    if (this.#takeover.isFirst) return false;
    return host.hasHiddenEnds || (!host.isFenced && host.reservedUntil > now);
  }

  /** Checks whether hosts of a pool may have runs that this owner does not know. */
  #isPoolUnknown(pool: string, now: number): boolean {
    if (this.#takeover.isFirst) return false;
    if (this.#hosts.machinesReadAt === -Infinity) return true;
    return [...this.#hosts.hosts].some(
      (host) => host.pool === pool && this.hasUnknownRuns(host, now),
    );
  }
}
