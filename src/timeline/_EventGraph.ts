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
  readonly processEvents: FleetEvent[][];

  readonly #eventsByKey = new Map<string, FleetEvent>();

  readonly #proposalsByRecord = new Map<string, FleetEvent>();

  /** Records by their offset, as far as some process has folded them. */
  readonly #recordsByOffset = new Map<number, string>();

  /** Events of folded records by offset, of any process. */
  readonly #applied = new Map<number, FleetEvent>();

  /** The same by `process@offset`. */
  readonly #appliedByProcess = new Map<string, FleetEvent>();

  constructor(inputs: Iterable<readonly FleetEvent[]>) {
    const eventsByProcess = new Map<string, FleetEvent[]>();
    [...inputs].flat().forEach((event) => {
      const key = formatEventKey(event);
      if (this.#eventsByKey.has(key)) return;
      this.#eventsByKey.set(key, event);
      if (event.offset !== undefined && event.record !== undefined) {
        this.#recordsByOffset.set(event.offset, event.record);
        this.#applied.set(event.offset, event);
        this.#appliedByProcess.set(`${event.process}@${event.offset}`, event);
      }
      if (event.proposes !== undefined) this.#proposalsByRecord.set(event.proposes, event);
      const events = eventsByProcess.get(event.process);
      if (events === undefined) eventsByProcess.set(event.process, [event]);
      else events.push(event);
    });
    this.processEvents = [...eventsByProcess.values()].map((events) =>
      events.sort((a, b) => a.id - b.id),
    );
  }

  /** Finds the event of the same process that an event names as its cause. */
  findCause(event: FleetEvent): FleetEvent | undefined {
    if (event.cause === undefined || event.cause >= event.id) return undefined;
    return this.#eventsByKey.get(formatEventKey({ process: event.process, id: event.cause }));
  }

  /** Finds the event of the record that led to a decision, as the same process folded it. */
  findTrigger({ process, because }: FleetEvent): FleetEvent | undefined {
    if (because === undefined) return undefined;
    return this.#appliedByProcess.get(`${process}@${because}`) ?? this.#applied.get(because);
  }

  /** Finds the proposal of the record that an event follows from, by its id or its offset. */
  findProposal(event: FleetEvent): FleetEvent | undefined {
    const {
      offset,
      record = offset === undefined ? undefined : this.#recordsByOffset.get(offset),
    } = event;
    const proposal = record === undefined ? undefined : this.#proposalsByRecord.get(record);
    return proposal === event ? undefined : proposal;
  }
}
