import type { FleetEvent } from './FleetEvent.js';

/** A ring buffer of events. */
export class EventRing {
  readonly #capacity: number;

  readonly #events: FleetEvent[] = [];

  #count = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds an event and overwrites the oldest one if the buffer is full. */
  add(event: FleetEvent): void {
    this.#events[this.#count % this.#capacity] = event;
    this.#count += 1;
  }

  /** Lists the retained events, oldest first. */
  list(): FleetEvent[] {
    if (this.#count <= this.#capacity) return this.#events.slice();
    const oldest = this.#count % this.#capacity;
    return [...this.#events.slice(oldest), ...this.#events.slice(0, oldest)];
  }
}
