import type { FleetEvent } from './FleetEvent.js';

/** Returns the key of an event, unique over all processes. */
export function formatEventKey({ process, id }: Pick<FleetEvent, 'process' | 'id'>): string {
  return `${process}#${id}`;
}

/** Compares by wall clock, then by process and id, so that equal times have one order. */
export function compareEvents(a: FleetEvent, b: FleetEvent): number {
  if (a.wall !== b.wall) return a.wall - b.wall;
  if (a.process !== b.process) return a.process < b.process ? -1 : 1;
  return a.id - b.id;
}

/** The events of several processes with their known causes. */
export class EventGraph {
  /** Events of each process in the order of their ids, without repeats. */
  readonly lanes: FleetEvent[][];

  readonly #byKey = new Map<string, FleetEvent>();

  readonly #proposals = new Map<string, FleetEvent>();

  /** Records by their offset, as far as some process has folded them. */
  readonly #records = new Map<number, string>();

  /** Events of folded records by offset, of any process. */
  readonly #folded = new Map<number, FleetEvent>();

  /** The same by `process@offset`. */
  readonly #foldedHere = new Map<string, FleetEvent>();

  constructor(inputs: Iterable<readonly FleetEvent[]>) {
    const lanes = new Map<string, FleetEvent[]>();
    [...inputs].flat().forEach((event) => {
      const key = formatEventKey(event);
      if (this.#byKey.has(key)) return;
      this.#byKey.set(key, event);
      if (event.offset !== undefined && event.record !== undefined) {
        this.#records.set(event.offset, event.record);
        this.#folded.set(event.offset, event);
        this.#foldedHere.set(`${event.process}@${event.offset}`, event);
      }
      if (event.proposes !== undefined) this.#proposals.set(event.proposes, event);
      const lane = lanes.get(event.process);
      if (lane === undefined) lanes.set(event.process, [event]);
      else lane.push(event);
    });
    this.lanes = [...lanes.values()].map((lane) => lane.sort((a, b) => a.id - b.id));
  }

  /** Finds the event of the same process that an event names as its cause. */
  findCause(event: FleetEvent): FleetEvent | undefined {
    if (event.cause === undefined || event.cause >= event.id) return undefined;
    return this.#byKey.get(formatEventKey({ process: event.process, id: event.cause }));
  }

  /** Finds the event of the record that led to a decision, as the same process folded it. */
  findBasis({ process, because }: FleetEvent): FleetEvent | undefined {
    if (because === undefined) return undefined;
    return this.#foldedHere.get(`${process}@${because}`) ?? this.#folded.get(because);
  }

  /** Finds the proposal of the record that an event follows from, by its id or its offset. */
  findProposal(event: FleetEvent): FleetEvent | undefined {
    const { offset, record = offset === undefined ? undefined : this.#records.get(offset) } = event;
    const proposal = record === undefined ? undefined : this.#proposals.get(record);
    return proposal === event ? undefined : proposal;
  }
}
