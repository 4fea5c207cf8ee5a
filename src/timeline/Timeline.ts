import type { Clock } from '../clock/mod.js';
import { EventRing } from './_EventRing.js';
import { FleetEvent, type EventInput } from './FleetEvent.js';

/** About 3 MB at 300 bytes per event; events are pruned to at most 4 KB. */
const DEFAULT_CAPACITY = 10_000;
/** An inventory change can concern thousands of hosts; their number is kept. */
const MAX_LISTED_HOSTS = 20;
const MAX_TEXT_LENGTH = 300;

function pruneText(text: string): string {
  return text.length <= MAX_TEXT_LENGTH ? text : `${text.slice(0, MAX_TEXT_LENGTH - 1)}…`;
}

/** Prunes an event to a size that is independent of its number of hosts. */
function pruneEvent(event: FleetEvent): FleetEvent {
  const entries = Object.entries(event).map(([name, value]) => [
    name,
    typeof value === 'string' ? pruneText(value) : value,
  ]);
  const pruned = Object.fromEntries(entries) as FleetEvent;
  if (event.hosts === undefined) return pruned;
  const hosts = event.hosts.slice(0, MAX_LISTED_HOSTS).map(pruneText);
  const hostCount = event.hostCount ?? event.hosts.length;
  return hostCount > hosts.length ? { ...pruned, hosts, hostCount } : { ...pruned, hosts };
}

/** Options of a `Timeline`. */
export interface TimelineOptions {
  clock: Clock;
  /** Maximum number of events; the oldest are overwritten. */
  capacity?: number;
  /** Called with each event, for example to log it. */
  onEvent?: (event: FleetEvent) => void;
}

/**
 * A bounded buffer of the most recent events of one process.
 *
 * Half of the capacity is reserved for request events and half for all others. Otherwise a high
 * request rate would evict the decisions about the fleet within seconds.
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

  readonly #requests: EventRing;

  readonly #others: EventRing;

  readonly #onEvent: ((event: FleetEvent) => void) | undefined;

  #count = 0;

  constructor(process: string, options: TimelineOptions) {
    const ringCapacity = Math.max(1, Math.floor((options.capacity ?? DEFAULT_CAPACITY) / 2));
    this.#process = process;
    this.#clock = options.clock;
    this.#onEvent = options.onEvent;
    this.#requests = new EventRing(ringCapacity);
    this.#others = new EventRing(ringCapacity);
  }

  /** Session id or name of the process. */
  get process(): string {
    return this.#process;
  }

  /** Records an event and returns its id, which later events can use as their `cause`. */
  record(event: EventInput): number {
    this.#count += 1;
    const ring = event.request === undefined ? this.#others : this.#requests;
    const recorded = pruneEvent({
      detail: '',
      ...event,
      id: this.#count,
      process: this.#process,
      wall: this.#clock.readWall(),
      monotonic: this.#clock.readMonotonic(),
    });
    ring.add(recorded);
    this.#onEvent?.(recorded);
    return this.#count;
  }

  /** Lists the retained events, oldest first. */
  list(): FleetEvent[] {
    return [...this.#requests.list(), ...this.#others.list()].sort((a, b) => a.id - b.id);
  }
}
