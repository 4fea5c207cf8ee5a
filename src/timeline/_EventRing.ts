import type { FleetEvent } from './FleetEvent.js';

/** A bounded list of events that overwrites its oldest. */
export class EventRing {
  readonly #capacity: number;

  readonly #events: FleetEvent[] = [];

  #count = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds an event. */
  add(event: FleetEvent): void {
    this.#events[this.#count % this.#capacity] = event;
    this.#count += 1;
  }

  /** Lists the events kept, oldest first. */
  list(): FleetEvent[] {
    if (this.#count <= this.#capacity) return this.#events.slice();
    const oldest = this.#count % this.#capacity;
    return [...this.#events.slice(oldest), ...this.#events.slice(0, oldest)];
  }
}
