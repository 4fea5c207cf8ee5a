import {
  describeJobState,
  WorkLogView,
  type WorkLogChange,
  type JobState,
} from '../workLog/mod.js';
import type { StoreRecord } from '../port/mod.js';
import type { NodeContext } from './NodeContext.js';
import { TopicFollower, type FollowerState } from './TopicFollower.js';

/** Delay between reads in ms while the node owns the shard; short, so that jobs start promptly. */
const OWNER_READ_DELAY_MS = 10;
/** Delay between reads in ms on standbys, which notice soon that the owner is silent. */
const STANDBY_READ_DELAY_MS = 80;
/** Delay between reads in ms on other nodes, which also read when a caller asks for a job. */
const FOLLOWER_READ_DELAY_MS = 400;

/** Result of looking up a job in the work log view. */
export interface JobLookup {
  /** Undefined if the view has no such job. */
  state: JobState | undefined;
  queue: string | undefined;
  /** Organisation to which the job belongs; undefined if its submission needed no key. */
  organisation?: string | undefined;
  follow: FollowerState;
}

/** Messages in addition to those of every topic follower. */
export type WorkLogFollowerMessage =
  | { type: 'find'; id: string; reply: (lookup: JobLookup) => void }
  | { type: 'get-state'; reply: (state: FollowerState) => void }
  | { type: 'count-waiting'; queue: string; reply: (count: number) => void }
  | { type: 'ownership-changed'; isOwner: boolean }
  | { type: 'standby-changed'; isStandby: boolean }
  | { type: 'read-now' };

/** Called after records were applied to the view, with the changes in log order. */
export type WorkLogListener = (
  changes: readonly WorkLogChange[],
  view: WorkLogView,
  state: FollowerState,
) => void;

/** Owns the view of the work log: follows the log, notifies listeners and answers job queries. */
export class WorkLogFollower extends TopicFollower<WorkLogFollowerMessage> {
  readonly #view = new WorkLogView((key, reason) =>
    this.context.log.record('record-skipped', key, { reason }),
  );

  readonly #listeners: WorkLogListener[];

  #isOwner = false;

  #isStandby = true;

  constructor(context: NodeContext, listeners: WorkLogListener[]) {
    super(context, 'work', STANDBY_READ_DELAY_MS);
    this.#listeners = listeners;
  }

  protected override applyRecords(records: readonly StoreRecord[], isSnapshot: boolean): void {
    const changes: WorkLogChange[] = [];
    const removed = isSnapshot ? this.#view.listRemoved(records, this.state.end) : [];
    this.applyEach([...removed, ...records], (record) => {
      const change = this.#view.apply(record, { isNewest: isSnapshot });
      if (change === undefined) return;
      if (change.type === 'unreadable') {
        this.context.log.record('record-skipped', change.key, { reason: change.reason });
      } else changes.push(change);
    });
    const { state } = this;
    this.#listeners.forEach((listener) => listener(changes, this.#view, state));
  }

  protected override handle(message: WorkLogFollowerMessage): void {
    switch (message.type) {
      case 'find': {
        const job = this.#view.get(message.id);
        message.reply({
          state: job === undefined ? undefined : describeJobState(job),
          queue: job?.queue,
          organisation: job?.organisation,
          follow: this.state,
        });
        break;
      }
      case 'get-state':
        message.reply(this.state);
        break;
      case 'count-waiting':
        message.reply(this.#view.countWaiting(message.queue));
        break;
      case 'ownership-changed':
        this.#isOwner = message.isOwner;
        this.readDelayMs = this.#chooseReadDelay();
        break;
      case 'standby-changed':
        this.#isStandby = message.isStandby;
        this.readDelayMs = this.#chooseReadDelay();
        break;
      default:
        this.readNow();
    }
  }

  #chooseReadDelay(): number {
    if (this.#isOwner) return OWNER_READ_DELAY_MS;
    return this.#isStandby ? STANDBY_READ_DELAY_MS : FOLLOWER_READ_DELAY_MS;
  }
}
