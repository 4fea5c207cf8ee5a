import type { Clock } from '../clock/mod.js';
import { FleetEvent, type EventInput } from './FleetEvent.js';

/** About 300 bytes an event bound the ring to about 3 MB. */
const DEFAULT_CAPACITY = 10_000;

/** Options of a time line. */
export interface TimelineOptions {
  clock: Clock;
  /** Most events kept; the oldest are overwritten. */
  capacity?: number;
}

/**
 * A bounded ring of the events of one process.
 *
 * @example
 * ```ts
 * const timeline = new Timeline('gateway-1', { clock: new SystemClock() });
 * timeline.record({ type: 'host.ejected', host: 'h7', detail: '9 of 10 jobs failed' });
 * timeline.list().at(-1)?.host; // 'h7'
 * ```
 */
export class Timeline {
  readonly #process: string;

  readonly #clock: Clock;

  readonly #capacity: number;

  readonly #events: FleetEvent[] = [];

  #count = 0;

  constructor(process: string, options: TimelineOptions) {
    this.#process = process;
    this.#clock = options.clock;
    this.#capacity = options.capacity ?? DEFAULT_CAPACITY;
  }

  /** Records an event and returns its id, which a later event may name as its cause. */
  record(event: EventInput): number {
    this.#count += 1;
    this.#events[(this.#count - 1) % this.#capacity] = {
      detail: '',
      ...event,
      id: this.#count,
      process: this.#process,
      wall: this.#clock.readWall(),
      monotonic: this.#clock.readMonotonic(),
    };
    return this.#count;
  }

  /** Lists the events kept, oldest first. */
  list(): FleetEvent[] {
    const oldest = this.#count % this.#capacity;
    if (this.#count <= this.#capacity) return this.#events.slice();
    return [...this.#events.slice(oldest), ...this.#events.slice(0, oldest)];
  }
}
