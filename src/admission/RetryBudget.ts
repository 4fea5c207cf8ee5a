/** Retries are at most this part of recent jobs. */
const RETRY_SHARE = 0.1;
const WINDOW_MS = 10_000;
const BUCKETS = 10;
const BUCKET_MS = WINDOW_MS / BUCKETS;

interface Bucket {
  index: number;
  jobs: number;
  retries: number;
}

/** Bounds retries to a tenth of the jobs of the last ten seconds, so that they never multiply load. */
export class RetryBudget {
  #buckets: Bucket[] = [];

  /** Counts a job that was sent for the first time. */
  recordJob(now: number): void {
    this.#findBucket(now).jobs += 1;
  }

  /** Whether one more retry is within the budget. */
  hasRetry(now: number): boolean {
    this.#findBucket(now);
    const jobs = this.#buckets.reduce((sum, bucket) => sum + bucket.jobs, 0);
    const retries = this.#buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    return retries + 1 <= jobs * RETRY_SHARE;
  }

  /** Takes one retry; false if the budget does not allow it. */
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
    this.#buckets = this.#buckets.filter((one) => one.index > index - BUCKETS);
    this.#buckets.push(bucket);
    return bucket;
  }
}
