import type { TimeReading } from '../clock/mod.js';
import type { PoolLoadRecord, TrackedJob } from '../workLog/mod.js';
import type { OrganisationTable } from './OrganisationTable.js';
import { SubmissionRate } from './SubmissionRate.js';

/** A pool load and when this node read it. */
interface KnownLoad {
  record: PoolLoadRecord;
  readAt: TimeReading;
}

/**
 * Decides on an entry host which submissions are refused because their organisation exceeds its
 * rate: those for a pool of which the owner has recorded recently that it has no capacity left.
 * Without a recent record every submission is accepted, and the owner schedules those beyond the
 * rate last.
 *
 * @example
 * ```ts
 * const limiter = new SubmissionLimiter(5_000);
 * limiter.setOrganisations(table);
 * limiter.setPoolLoad(view.poolLoad, clock.read());
 * limiter.computeRefusal({ organisation: 'acme', pool: 'studio' }, clock.read()); // 800: retry then
 * ```
 */
export class SubmissionLimiter {
  readonly #rate: SubmissionRate;

  #load: KnownLoad | undefined;

  /** @param windowMs See `SubmissionRate`. */
  constructor(windowMs: number) {
    this.#rate = new SubmissionRate(windowMs);
  }

  setOrganisations(table: OrganisationTable): void {
    [...table.organisations].forEach(({ name, jobsPerS }) => this.#rate.setRate(name, jobsPerS));
  }

  /** Sets the newest record of the owner, which was read at the given time. */
  setPoolLoad(record: PoolLoadRecord | undefined, readAt: TimeReading): void {
    if (record === this.#load?.record) return;
    this.#load = record === undefined ? undefined : { record, readAt };
  }

  /** Records a job that has been accepted; a job may be recorded more than once. */
  recordJob({
    id,
    organisation,
    submittedAtMs,
  }: Pick<TrackedJob, 'id' | 'organisation' | 'submittedAtMs'>): void {
    if (organisation !== undefined) this.#rate.record(organisation, id, submittedAtMs);
  }

  /** Removes a job that has been removed from the work log. */
  removeJob(id: string): void {
    this.#rate.remove(id);
  }

  /**
   * Computes the time in ms after which a submission to a pool that is refused now would be within
   * the rate of its organisation; undefined if it is accepted.
   */
  computeRefusal(
    { organisation, pool }: { organisation: string | undefined; pool: string },
    now: TimeReading,
  ): number | undefined {
    if (organisation === undefined) return undefined;
    const validMs = this.#computeValidity(pool, now);
    if (validMs <= 0) return undefined;
    const delayMs = this.#rate.computeDelay(organisation, now.wallMs);
    if (delayMs <= 0) return undefined;
    // An organisation with a rate of 0 is served only when there is capacity.
    return delayMs === Infinity ? validMs : delayMs;
  }

  /**
   * Computes for how long, in ms, a pool is known to have no capacity left. The record is valid only
   * as long as both the time of the owner and that of its reading say so: the clocks of the owner
   * and of this node may differ, and it may have been read late.
   */
  #computeValidity(pool: string, now: TimeReading): number {
    if (this.#load?.record.fullPools.includes(pool) !== true) return 0;
    const { record, readAt } = this.#load;
    const ageMs = Math.max(now.wallMs - record.atMs, readAt.computeAge(now));
    return record.validMs - ageMs;
  }
}
