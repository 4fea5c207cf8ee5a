import type { StartRule } from '../schedule/mod.js';

/** Without an append that was answered for this time in ms, starts are not recorded any more. */
const UNRECORDED_AFTER_MS = 600;
/** Pause in ms between questions to the other nodes. */
const PEER_CHECK_INTERVAL_MS = 250;
/**
 * For how long the answers of the other nodes hold, in ms; well below the silence of an owner after
 * which another node claims the shard.
 */
const UNREACHABLE_VALID_MS = 600;

/** How the owner starts tasks at the moment. */
export interface StartPermit {
  /** A start is recorded before it is ordered. */
  isRecorded: boolean;
  rule: StartRule;
}

/** What a gate needs of its owner. */
export interface StartPolicyOptions {
  readClock: () => number;
  /** Checks whether every other node answers and none is in contact with the store. */
  isStoreUnreachable: () => Promise<boolean>;
  /** Is called with the first confirmation that the store is away for all nodes. */
  onStoreUnreachable: () => void;
}

/**
 * Decides how an owner starts tasks while it cannot reach the store.
 *
 * In contact, each start is recorded before it is ordered, so that a successor knows which tasks may
 * run on hosts that it cannot reach. Out of contact, a successor may exist. The owner then starts
 * only tasks of jobs that were accepted in its own data centre; a successor leaves those alone. While
 * all other nodes say that the store is away, none of them can claim the shard: the owner starts
 * everything, and the nodes that it asked remember that.
 */
export class StartPolicy {
  readonly #options: StartPolicyOptions;

  #checkedAt = -Infinity;

  #unreachableAt = -Infinity;

  constructor(options: StartPolicyOptions) {
    this.#options = options;
  }

  /** Chooses the permit by the time in ms since the last append that was answered. */
  choosePermit(sinceAppendMs: number): StartPermit {
    if (sinceAppendMs <= UNRECORDED_AFTER_MS) return { isRecorded: true, rule: 'all' };
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
      // An unanswered question is no confirmation.
      () => undefined,
    );
  }
}
