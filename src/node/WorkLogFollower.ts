import {
  describeJobState,
  WorkLogView,
  type WorkLogChange,
  type JobState,
} from '../workLog/mod.js';
import type { StoreRecord } from '../port/mod.js';
import type { NodeParts } from './NodeContext.js';
import { TopicFollower, type FollowState } from './TopicFollower.js';

/** Pause between reads of a node that owns the shard: jobs should start at once. */
const OWNER_GATHER_MS = 10;
/** Pause between reads of other nodes: callers may read a state that is some time old. */
const FOLLOWER_GATHER_MS = 80;

/** What a node can say about a job. */
export interface JobAnswer {
  /** Undefined when the book has no such job. */
  state: JobState | undefined;
  queue: string | undefined;
  follow: FollowState;
}

/** Messages of the book keeper beside those of every follower. */
export type BookKeeperMessage =
  | { type: 'find'; id: string; reply: (answer: JobAnswer) => void }
  | { type: 'tell-state'; reply: (state: FollowState) => void }
  | { type: 'count-waiting'; queue: string; reply: (count: number) => void }
  | { type: 'owning'; isOwner: boolean }
  | { type: 'read-now' };

/** Receives what was folded; called in the order of the log. */
export type BookListener = (
  changes: readonly WorkLogChange[],
  book: WorkLogView,
  state: FollowState,
) => void;

/** Owns the book of jobs: follows the work log and answers what is known of a job. */
export class BookKeeper extends TopicFollower<BookKeeperMessage> {
  readonly #book = new WorkLogView();

  readonly #listeners: BookListener[];

  constructor(parts: NodeParts, listeners: BookListener[]) {
    super(parts, 'work', FOLLOWER_GATHER_MS);
    this.#listeners = listeners;
  }

  protected override applyRecords(records: readonly StoreRecord[]): void {
    const changes: WorkLogChange[] = [];
    records.forEach((record) => {
      const change = this.#book.apply(record);
      if (change === undefined) return;
      if (change.type === 'unreadable') {
        this.parts.log.record('record-skipped', change.key, { reason: change.reason });
      } else changes.push(change);
    });
    const { state } = this;
    this.#listeners.forEach((listener) => listener(changes, this.#book, state));
  }

  protected override handle(message: BookKeeperMessage): void {
    switch (message.type) {
      case 'find': {
        const job = this.#book.get(message.id);
        message.reply({
          state: job === undefined ? undefined : describeJobState(job),
          queue: job?.queue,
          follow: this.state,
        });
        break;
      }
      case 'tell-state':
        message.reply(this.state);
        break;
      case 'count-waiting':
        message.reply(this.#book.countWaiting(message.queue));
        break;
      case 'owning':
        this.gatherMs = message.isOwner ? OWNER_GATHER_MS : FOLLOWER_GATHER_MS;
        break;
      default:
        this.readNow();
    }
  }
}
