import type { RecordsResponse } from './RecordsResponse.js';

/** An open long poll of a follower. */
interface PendingPoll {
  id: number;
  offset: number;
  timer: NodeJS.Timeout;
  reply: (answer: RecordsResponse) => void;
}

/** The open long polls of followers that wait for the next record. */
export class PendingPolls {
  readonly #expire: (pollId: number) => void;

  #polls: PendingPoll[] = [];

  #lastId = 0;

  /** @param expire Called with the id of a poll whose wait time has elapsed. */
  constructor(expire: (pollId: number) => void) {
    this.#expire = expire;
  }

  /** Adds a poll that expires after `waitMs`. */
  add(poll: { offset: number; waitMs: number; reply: (answer: RecordsResponse) => void }): void {
    this.#lastId += 1;
    const id = this.#lastId;
    const timer = setTimeout(() => this.#expire(id), poll.waitMs);
    this.#polls.push({ id, timer, offset: poll.offset, reply: poll.reply });
  }

  /** Removes and returns the polls that are due. */
  take(isDue: (poll: { id: number; offset: number }) => boolean): PendingPoll[] {
    const due = this.#polls.filter(isDue);
    this.#polls = this.#polls.filter((poll) => !due.includes(poll));
    due.forEach(({ timer }) => clearTimeout(timer));
    return due;
  }
}
