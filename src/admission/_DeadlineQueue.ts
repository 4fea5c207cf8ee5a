import type { ShedReason } from './AdmissionPolicy.js';

/** An entry of a deadline queue; `startBy` is the latest start that meets the deadline. */
export interface QueueEntry {
  id: string;
  team: string;
  startBy: number;
  /** Reason for shedding the job if it can't start in time. */
  lateReason: ShedReason;
  /** Order of arrival, which breaks ties of `startBy`. */
  sequence: number;
}

function isBefore(a: QueueEntry, b: QueueEntry): boolean {
  return a.startBy === b.startBy ? a.sequence < b.sequence : a.startBy < b.startBy;
}

/** A binary min-heap ordered by `startBy`. Any entry can be removed in O(log n). */
export class DeadlineQueue {
  readonly #heap: QueueEntry[] = [];

  readonly #indexById = new Map<string, number>();

  get size(): number {
    return this.#heap.length;
  }

  get first(): QueueEntry | undefined {
    return this.#heap[0];
  }

  /**
   * A leaf of the heap, found in O(1): an entry with a late `startBy`, though not necessarily the
   * latest.
   */
  get last(): QueueEntry | undefined {
    return this.#heap.at(-1);
  }

  add(entry: QueueEntry): void {
    this.#heap.push(entry);
    this.#indexById.set(entry.id, this.#heap.length - 1);
    this.#moveUp(this.#heap.length - 1);
  }

  remove(id: string): QueueEntry | undefined {
    const place = this.#indexById.get(id);
    if (place === undefined) return undefined;
    const removed = this.#heap[place];
    const moved = this.#heap.pop() as QueueEntry;
    this.#indexById.delete(id);
    if (place < this.#heap.length) {
      this.#set(place, moved);
      this.#moveUp(place);
      this.#moveDown(this.#indexById.get(moved.id) as number);
    }
    return removed;
  }

  #set(place: number, entry: QueueEntry): void {
    this.#heap[place] = entry;
    this.#indexById.set(entry.id, place);
  }

  /** Swaps the entries at two indices. */
  #replace(a: number, b: number): void {
    const [first, second] = [this.#heap[a] as QueueEntry, this.#heap[b] as QueueEntry];
    this.#set(a, second);
    this.#set(b, first);
  }

  /** Restores the heap order towards the root. */
  #moveUp(from: number): void {
    let place = from;
    while (place > 0) {
      const parent = Math.floor((place - 1) / 2);
      if (!isBefore(this.#heap[place] as QueueEntry, this.#heap[parent] as QueueEntry)) return;
      this.#replace(place, parent);
      place = parent;
    }
  }

  /** Restores the heap order towards the leaves. */
  #moveDown(from: number): void {
    let place = from;
    for (;;) {
      const left = 2 * place + 1;
      if (left >= this.#heap.length) return;
      const right = left + 1;
      const isRight =
        right < this.#heap.length &&
        isBefore(this.#heap[right] as QueueEntry, this.#heap[left] as QueueEntry);
      const child = isRight ? right : left;
      if (!isBefore(this.#heap[child] as QueueEntry, this.#heap[place] as QueueEntry)) return;
      this.#replace(place, child);
      place = child;
    }
  }
}
