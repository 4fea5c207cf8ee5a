import type { StartRule } from '../schedule/mod.js';

/** Without an append that was answered for this time in ms, starts are not recorded any more. */
const UNRECORDED_AFTER_MS = 600;
/** Pause in ms between questions to the other nodes. */
const ASK_PAUSE_MS = 250;
/**
 * For how long the answers of the other nodes hold, in ms; well below the silence of an owner after
 * which another node claims the shard.
 */
const AWAY_VALID_MS = 600;

/** How the owner starts tasks at the moment. */
export interface StartPermit {
  /** A start is recorded before it is ordered. */
  isRecorded: boolean;
  rule: StartRule;
}

/** What a gate needs of its owner. */
export interface StartGateOptions {
  readClock: () => number;
  /** Checks whether every other node answers and none is in contact with the store. */
  isStoreAway: () => Promise<boolean>;
  /** Is called with the first confirmation that the store is away for all nodes. */
  onAway: () => void;
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
export class StartGate {
  readonly #options: StartGateOptions;

  #askedAt = -Infinity;

  #awayAt = -Infinity;

  constructor(options: StartGateOptions) {
    this.#options = options;
  }

  /** Chooses the permit by the time in ms since the last append that was answered. */
  choosePermit(silentMs: number): StartPermit {
    if (silentMs <= UNRECORDED_AFTER_MS) return { isRecorded: true, rule: 'all' };
    const now = this.#options.readClock();
    if (now - this.#askedAt >= ASK_PAUSE_MS) this.#ask(now);
    const isAway = now - this.#awayAt <= AWAY_VALID_MS;
    return { isRecorded: false, rule: isAway ? 'all' : 'own-data-centre' };
  }

  #ask(now: number): void {
    this.#askedAt = now;
    this.#options.isStoreAway().then(
      (isAway) => {
        if (!isAway) return;
        if (this.#awayAt === -Infinity) this.#options.onAway();
        this.#awayAt = now;
      },
      // An unanswered question is no confirmation.
      () => undefined,
    );
  }
}
