import type { StartRule } from '../schedule/mod.js';

/** Starts are no longer recorded after this time in ms without a successful append. */
const UNRECORDED_AFTER_MS = 600;
/** With a slow store, this multiple of the latency of recent appends counts instead. */
const LATENCY_FACTOR = 2.5;
/** Interval in ms between checks with the other nodes. */
const PEER_CHECK_INTERVAL_MS = 250;
/**
 * Time in ms for which the result of a check is valid; well below the silence after which another
 * node claims the shard.
 */
const UNREACHABLE_VALID_MS = 600;

/** How the owner may currently start tasks. */
export interface StartPermit {
  /** A start is recorded before the order is sent. */
  isRecorded: boolean;
  rule: StartRule;
}

/** Options of a `StartPolicy`. */
export interface StartPolicyOptions {
  readClock: () => number;
  /** Checks whether all other nodes respond and none of them is in contact with the store. */
  isStoreUnreachable: () => Promise<boolean>;
  /** Called once, when the other nodes first confirm that the store is unreachable for all. */
  onStoreUnreachable: () => void;
}

/**
 * Decides how an owner starts tasks while it cannot reach the store.
 *
 * With contact, each start is recorded before it is ordered, so that a successor knows which tasks
 * may run on hosts that it cannot reach. Without contact, a successor may exist. The owner then
 * starts only tasks of jobs that were accepted in its own data centre; a successor leaves those
 * jobs alone. While all other nodes report that they cannot reach the store either, none of them
 * can claim the shard: the owner starts tasks of all jobs, and the nodes that it asked remember
 * this.
 */
export class StartPolicy {
  readonly #options: StartPolicyOptions;

  #checkedAt = -Infinity;

  #unreachableAt = -Infinity;

  constructor(options: StartPolicyOptions) {
    this.#options = options;
  }

  /**
   * Chooses the permit for the given time in ms since the last successful append.
   *
   * @param latencyMs Latency in ms of recent appends: a slow store is not an unreachable one.
   */
  choosePermit(sinceAppendMs: number, latencyMs = 0): StartPermit {
    if (sinceAppendMs <= Math.max(UNRECORDED_AFTER_MS, LATENCY_FACTOR * latencyMs))
      return { isRecorded: true, rule: 'all' };
    const now = this.#options.readClock();
    if (now - this.#checkedAt >= PEER_CHECK_INTERVAL_MS) this.#checkPeers(now);
    const isUnreachable = now - this.#unreachableAt <= UNREACHABLE_VALID_MS;
    return { isRecorded: false, rule: isUnreachable ? 'all' : 'own-data-centre' };
  }

  #checkPeers(now: number): void {
    this.#checkedAt = now;
    this.#options.isStoreUnreachable().then(
      (isUnreachable) => {
        if (!isUnreachable) return;
        if (this.#unreachableAt === -Infinity) this.#options.onStoreUnreachable();
        this.#unreachableAt = now;
      },
      // A failed check does not confirm that the store is unreachable.
      () => undefined,
    );
  }
}
