/** Maximum ratio of retries to jobs in the window. */
const MAX_RETRY_RATIO = 0.1;
const WINDOW_MS = 10_000;
const BUCKETS = 10;
const BUCKET_MS = WINDOW_MS / BUCKETS;

interface Bucket {
  index: number;
  jobs: number;
  retries: number;
}

/**
 * Limits retries to a tenth of the jobs in the last ten seconds, so that retries can't multiply
 * load.
 */
export class RetryBudget {
  #buckets: Bucket[] = [];

  /** Counts the first attempt of a job. */
  recordJob(now: number): void {
    this.#findBucket(now).jobs += 1;
  }

  /** Whether the budget allows another retry. */
  hasRetry(now: number): boolean {
    this.#findBucket(now);
    const jobs = this.#buckets.reduce((sum, bucket) => sum + bucket.jobs, 0);
    const retries = this.#buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    return retries + 1 <= jobs * MAX_RETRY_RATIO;
  }

  /** Consumes one retry; returns false if the budget is exhausted. */
  takeRetry(now: number): boolean {
    if (!this.hasRetry(now)) return false;
    this.#findBucket(now).retries += 1;
    return true;
  }

  #findBucket(now: number): Bucket {
    const index = Math.floor(now / BUCKET_MS);
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, jobs: 0, retries: 0 };
    this.#buckets = this.#buckets.filter((recent) => recent.index > index - BUCKETS);
    this.#buckets.push(bucket);
    return bucket;
  }
}
