const US_PER_MS = 1_000;
const US_PER_SECOND = 1_000_000;

/** A submission of an organisation and the verdict on it. */
interface Submission {
  organisation: string;
  id: string;
  atUs: number;
  isWithin: boolean;
  /** Time in microseconds at which the rate has been used up to, after this submission. */
  usedUpToUs: number;
}

/** The submissions of an organisation in order of their times, and its rate. */
interface OrganisationRate {
  submissions: Submission[];
  /** Time in microseconds that one job uses up; undefined if the organisation has no known rate. */
  intervalUs: number | undefined;
}

function isBefore(one: Submission, other: Submission): boolean {
  return one.atUs < other.atUs || (one.atUs === other.atUs && one.id < other.id);
}

/**
 * Decides for each job of an organisation whether it was submitted within the organisation's rate.
 *
 * A token bucket (in the form of the generic cell rate algorithm) of `windowMs` times the rate, but
 * at least one job: the smallest one that never rejects an organisation that submits at most that
 * many jobs in any window. The verdicts depend only on the rates and on the set of recorded
 * submissions, not on the order in which they were recorded, so that all readers of a work log agree
 * even if they began with its newest records, which are not sorted by time. For the same reason all
 * computations use whole microseconds.
 *
 * @example
 * ```ts
 * const rate = new SubmissionRate(5_000);
 * rate.setRate('acme', 0.2); // one job in 5 s
 * rate.record('acme', '5c0e7a21d94b36f8', 1_000); // true
 * rate.record('acme', '77aa7a21d94b36f8', 2_000); // false
 * rate.computeDelay('acme', 2_000); // 4000
 * ```
 */
export class SubmissionRate {
  readonly #windowUs: number;

  readonly #organisations = new Map<string, OrganisationRate>();

  readonly #submissions = new Map<string, Submission>();

  /** @param windowMs Time in ms in which an organisation may use its rate unevenly. */
  constructor(windowMs: number) {
    this.#windowUs = windowMs * US_PER_MS;
  }

  /**
   * Sets the rate of an organisation. With a rate of 0 no job is within it; without a call all are.
   * The verdicts on the recorded submissions follow the new rate.
   */
  setRate(organisation: string, jobsPerS: number): void {
    const state = this.#open(organisation);
    const intervalUs = Math.round(US_PER_SECOND / jobsPerS);
    if (state.intervalUs === intervalUs) return;
    state.intervalUs = intervalUs;
    this.#settle(state, 0, { isComplete: true });
  }

  /**
   * Records a submission and returns whether it is within the rate. A repeated call with the same
   * identifier replaces the first one.
   *
   * @param submittedAtMs Time of the submission in ms since the Unix epoch.
   */
  record(organisation: string, id: string, submittedAtMs: number): boolean {
    const atUs = Math.round(submittedAtMs * US_PER_MS);
    const known = this.#submissions.get(id);
    if (known?.organisation === organisation && known.atUs === atUs) return known.isWithin;
    this.remove(id);
    const submission = { organisation, id, atUs, isWithin: true, usedUpToUs: -Infinity };
    const state = this.#open(organisation);
    const index = SubmissionRate.#findIndex(state.submissions, submission);
    state.submissions.splice(index, 0, submission);
    this.#submissions.set(id, submission);
    this.#settle(state, index);
    return submission.isWithin;
  }

  /** Checks whether a job was within the rate; a job that is not recorded is. */
  isWithin(id: string): boolean {
    return this.#submissions.get(id)?.isWithin ?? true;
  }

  /** Counts the recorded jobs of an organisation that were beyond its rate. */
  countBeyond(organisation: string): number {
    const submissions = this.#organisations.get(organisation)?.submissions ?? [];
    return submissions.reduce((count, { isWithin }) => count + (isWithin ? 0 : 1), 0);
  }

  /**
   * Computes the time in ms until a submission of the organisation is within its rate again; 0 if it
   * is now, and `Infinity` if the rate is 0.
   *
   * @param nowWallMs Current time in ms since the Unix epoch.
   */
  computeDelay(organisation: string, nowWallMs: number): number {
    const state = this.#organisations.get(organisation);
    if (state?.intervalUs === undefined) return 0;
    if (state.intervalUs === Infinity) return Infinity;
    const usedUpToUs = state.submissions.at(-1)?.usedUpToUs ?? -Infinity;
    const withinAtUs = usedUpToUs - this.#computeToleranceUs(state.intervalUs);
    return Math.max(0, withinAtUs / US_PER_MS - nowWallMs);
  }

  /** Removes a submission whose job has been removed from the work log. */
  remove(id: string): void {
    const submission = this.#submissions.get(id);
    if (submission === undefined) return;
    this.#submissions.delete(id);
    const state = this.#open(submission.organisation);
    const index = SubmissionRate.#findIndex(state.submissions, submission);
    state.submissions.splice(index, 1);
    this.#settle(state, index);
    if (state.submissions.length === 0 && state.intervalUs === undefined) {
      this.#organisations.delete(submission.organisation);
    }
  }

  /**
   * Computes the verdicts from an index on, up to the first submission after which the state is what
   * it was before; the later ones are unaffected then.
   */
  #settle(
    { submissions, intervalUs }: OrganisationRate,
    from: number,
    { isComplete = false } = {},
  ): void {
    let usedUpToUs = submissions[from - 1]?.usedUpToUs ?? -Infinity;
    for (let index = from; index < submissions.length; index += 1) {
      const submission = submissions[index] as Submission;
      if (intervalUs === undefined) submission.isWithin = true;
      else {
        const startUs = Math.max(usedUpToUs, submission.atUs);
        const aheadUs = startUs - submission.atUs;
        submission.isWithin =
          intervalUs !== Infinity && aheadUs <= this.#computeToleranceUs(intervalUs);
        if (submission.isWithin) usedUpToUs = startUs + intervalUs;
      }
      const isUnchanged = submission.usedUpToUs === usedUpToUs;
      submission.usedUpToUs = usedUpToUs;
      if (isUnchanged && !isComplete) return;
    }
  }

  /** Computes how far ahead of its even spacing a job may be, in microseconds. */
  #computeToleranceUs(intervalUs: number): number {
    return Math.max(0, this.#windowUs - intervalUs);
  }

  #open(organisation: string): OrganisationRate {
    const known = this.#organisations.get(organisation);
    if (known !== undefined) return known;
    const state: OrganisationRate = { submissions: [], intervalUs: undefined };
    this.#organisations.set(organisation, state);
    return state;
  }

  /** Finds the index of a submission, or the one at which it belongs, mostly the last. */
  static #findIndex(submissions: readonly Submission[], submission: Submission): number {
    let low = 0;
    let high = submissions.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const other = submissions[middle] as Submission;
      if (isBefore(other, submission)) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
