import type { ShedReason } from './AdmissionPolicy.js';

/** An entry of a queue; `startBy` is the latest useful start. */
export interface Queued {
  id: string;
  team: string;
  startBy: number;
  /** Why the job is shed when it can't start in time. */
  lateReason: ShedReason;
  sequence: number;
}

function isBefore(a: Queued, b: Queued): boolean {
  return a.startBy === b.startBy ? a.sequence < b.sequence : a.startBy < b.startBy;
}

/** A binary heap by latest start, with removal of any entry in O(log n). */
export class DeadlineQueue {
  readonly #heap: Queued[] = [];

  readonly #places = new Map<string, number>();

  get size(): number {
    return this.#heap.length;
  }

  get first(): Queued | undefined {
    return this.#heap[0];
  }

  /** Finds an entry near the end of the order in O(1); its start is not before its parent's. */
  get last(): Queued | undefined {
    return this.#heap.at(-1);
  }

  add(entry: Queued): void {
    this.#heap.push(entry);
    this.#places.set(entry.id, this.#heap.length - 1);
    this.#sortUp(this.#heap.length - 1);
  }

  remove(id: string): Queued | undefined {
    const place = this.#places.get(id);
    if (place === undefined) return undefined;
    const removed = this.#heap[place];
    const moved = this.#heap.pop() as Queued;
    this.#places.delete(id);
    if (place < this.#heap.length) {
      this.#put(place, moved);
      this.#sortUp(place);
      this.#sortDown(this.#places.get(moved.id) as number);
    }
    return removed;
  }

  #put(place: number, entry: Queued): void {
    this.#heap[place] = entry;
    this.#places.set(entry.id, place);
  }

  #replace(a: number, b: number): void {
    const [first, second] = [this.#heap[a] as Queued, this.#heap[b] as Queued];
    this.#put(a, second);
    this.#put(b, first);
  }

  #sortUp(from: number): void {
    let place = from;
    while (place > 0) {
      const parent = Math.floor((place - 1) / 2);
      if (!isBefore(this.#heap[place] as Queued, this.#heap[parent] as Queued)) return;
      this.#replace(place, parent);
      place = parent;
    }
  }

  #sortDown(from: number): void {
    let place = from;
    for (;;) {
      const left = 2 * place + 1;
      if (left >= this.#heap.length) return;
      const right = left + 1;
      const isRight =
        right < this.#heap.length &&
        isBefore(this.#heap[right] as Queued, this.#heap[left] as Queued);
      const child = isRight ? right : left;
      if (!isBefore(this.#heap[child] as Queued, this.#heap[place] as Queued)) return;
      this.#replace(place, child);
      place = child;
    }
  }
}
