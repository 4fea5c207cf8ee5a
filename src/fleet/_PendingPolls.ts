import type { SinceAnswer } from './RecordsResponse.js';

/** A follower that waits for the next record. */
interface Waiter {
  id: number;
  offset: number;
  timer: NodeJS.Timeout;
  reply: (answer: SinceAnswer) => void;
}

/** The followers whose long polls are open. */
export class SinceWaiters {
  readonly #expire: (waiter: number) => void;

  #waiters: Waiter[] = [];

  #count = 0;

  /** @param expire Called with the id of a waiter whose time has passed. */
  constructor(expire: (waiter: number) => void) {
    this.#expire = expire;
  }

  /** Adds a waiter. */
  add(waiter: { offset: number; waitMs: number; reply: (answer: SinceAnswer) => void }): void {
    this.#count += 1;
    const id = this.#count;
    const timer = setTimeout(() => this.#expire(id), waiter.waitMs);
    this.#waiters.push({ id, timer, offset: waiter.offset, reply: waiter.reply });
  }

  /** Removes and returns the waiters that are due. */
  take(isDue: (waiter: { id: number; offset: number }) => boolean): Waiter[] {
    const due = this.#waiters.filter(isDue);
    this.#waiters = this.#waiters.filter((waiter) => !due.includes(waiter));
    due.forEach(({ timer }) => clearTimeout(timer));
    return due;
  }
}
