import type { FleetEvent } from './FleetEvent.js';

/** Returns a key of an event that is unique across processes. */
export function formatEventKey({ process, id }: Pick<FleetEvent, 'process' | 'id'>): string {
  return `${process}#${id}`;
}

/** Compares by wall clock, then by process and id, so that the order of equal times is defined. */
export function compareEvents(a: FleetEvent, b: FleetEvent): number {
  if (a.wall !== b.wall) return a.wall - b.wall;
  if (a.process !== b.process) return a.process < b.process ? -1 : 1;
  return a.id - b.id;
}

/** The events of several processes, indexed by their causal relations. */
export class EventGraph {
  /** Events of each process, deduplicated and sorted by id. */
  readonly processEvents: FleetEvent[][];

  readonly #eventsByKey = new Map<string, FleetEvent>();

  /** Proposal events by the `writer/sequence` of the proposed record. */
  readonly #proposalsByRecord = new Map<string, FleetEvent>();

  /** Records as `writer/sequence` by offset, if any process has applied them. */
  readonly #recordsByOffset = new Map<number, string>();

  /** Events of applied records by offset; one of them if several processes applied the record. */
  readonly #applied = new Map<number, FleetEvent>();

  /** Events of applied records by `process@offset`. */
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

  /** Finds the event of the same process that the `cause` of an event refers to. */
  findCause(event: FleetEvent): FleetEvent | undefined {
    if (event.cause === undefined || event.cause >= event.id) return undefined;
    return this.#eventsByKey.get(formatEventKey({ process: event.process, id: event.cause }));
  }

  /** Finds the event of the record that triggered a decision, preferably in the same process. */
  findTrigger({ process, because }: FleetEvent): FleetEvent | undefined {
    if (because === undefined) return undefined;
    return this.#appliedByProcess.get(`${process}@${because}`) ?? this.#applied.get(because);
  }

  /** Finds the proposal of the record that caused an event, by the record's id or offset. */
  findProposal(event: FleetEvent): FleetEvent | undefined {
    const {
      offset,
      record = offset === undefined ? undefined : this.#recordsByOffset.get(offset),
    } = event;
    const proposal = record === undefined ? undefined : this.#proposalsByRecord.get(record);
    return proposal === event ? undefined : proposal;
  }
}
