import type { PoolLoadRecord } from '../workLog/mod.js';

/** Minimum interval in ms between two records. */
const MIN_INTERVAL_MS = 500;
/** Time in ms for which a record is valid. */
const VALID_MS = 2_000;
/**
 * Age in ms at which a record is renewed. The owner appends at least every 250 ms, and a standby
 * reads the record some 100 ms later, other nodes 400 ms later.
 */
const RENEW_AFTER_MS = 1_200;

/** Times in ms, on the monotonic and on the wall clock. */
export interface PublishTime {
  now: number;
  nowWallMs: number;
}

/**
 * Decides when the owner records which pools have no capacity left for jobs beyond the rate of their
 * organisation: at most twice a second, when it changes or when the last record is about to expire.
 *
 * @example
 * ```ts
 * const publisher = new PoolLoadPublisher(token);
 * publisher.take(['studio'], { now, nowWallMs }); // { fullPools: ['studio'], ... }
 * publisher.take(['studio'], { now, nowWallMs }); // undefined
 * ```
 */
export class PoolLoadPublisher {
  readonly #token: number;

  #publishedAt = -Infinity;

  #fullPools: readonly string[] = [];

  /** `token` is the fencing token of the owner. */
  constructor(token: number) {
    this.#token = token;
  }

  /**
   * Takes the record that is due; undefined if none is.
   *
   * @param fullPools Sorted names of the full pools; undefined if the deployment has no organisations.
   */
  take(
    fullPools: readonly string[] | undefined,
    { now, nowWallMs }: PublishTime,
  ): PoolLoadRecord | undefined {
    const ageMs = now - this.#publishedAt;
    if (fullPools === undefined || ageMs < MIN_INTERVAL_MS) return undefined;
    const isUnchanged = fullPools.join('\n') === this.#fullPools.join('\n');
    // Without a record no pool counts as full, so a record that names none is not renewed.
    if (isUnchanged && (fullPools.length === 0 || ageMs < RENEW_AFTER_MS)) return undefined;
    this.#publishedAt = now;
    this.#fullPools = fullPools;
    return {
      token: this.#token,
      fullPools: [...fullPools],
      atMs: nowWallMs,
      validMs: VALID_MS,
    };
  }
}
