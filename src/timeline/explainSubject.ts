import { EventGraph, formatEventKey } from './_EventGraph.js';
import type { FleetEvent } from './FleetEvent.js';
import { mergeTimelines, type MergedEvent } from './mergeTimelines.js';

/** The subject of an explanation. */
export interface Subject {
  kind: 'host' | 'request' | 'change';
  name: string;
  /**
   * Offsets and platform times of records that changed the subject according to the fleet state. An
   * event with a truncated list of hosts concerns the subject if it belongs to one of these
   * records.
   */
  records?: { offsets: readonly number[]; times: readonly number[] };
}

/** An event as a step of an explanation. */
export interface ExplainedEvent extends MergedEvent {
  /** Keys (`process#id`) of the events that caused this one. */
  causes: string[];
  /** False if the event is included only as a cause of another step. */
  isAboutSubject: boolean;
}

function isAbout(event: FleetEvent, { kind, name, records }: Subject): boolean {
  if (event[kind] === name) return true;
  if (kind !== 'host') return false;
  if (event.hosts?.includes(name)) return true;
  if (event.hostCount === undefined || records === undefined) return false;
  const { offset = -1, appendedAt = -1 } = event;
  return records.offsets.includes(offset) || records.times.includes(appendedAt);
}

/**
 * Events of successful requests, which do not help to explain a host and number in the thousands.
 */
const ROUTINE_EVENT_TYPES = new Set(['request.sent', 'request.answered']);

/** A record that was only proposed, or that was not accepted, changed nothing. */
const NO_EFFECT_SUFFIX = /\.(proposed|rejected|duplicate)$/;

/** Finds the last earlier event of the same process that changed the known state of the host. */
function findHostEvent(
  processEvents: readonly FleetEvent[],
  event: FleetEvent,
): FleetEvent | undefined {
  const { host } = event;
  if (host === undefined || event.request === undefined) return undefined;
  return processEvents.findLast(
    (candidate) =>
      candidate.id < event.id &&
      candidate.request === undefined &&
      !NO_EFFECT_SUFFIX.test(candidate.type) &&
      isAbout(candidate, { kind: 'host', name: host }),
  );
}

/**
 * Explains a host, a request or a configuration change: lists the events that concern it, together
 * with their direct and indirect causes, in merged order.
 *
 * The causes of an event are: the event that its `cause` refers to; the proposal of the record that
 * it results from; the change or failure that triggered a decision; and, for a request event at a
 * host, the last event in the same process that changed the known state of that host.
 *
 * @example
 * ```ts
 * explainSubject([gateway.list()], { kind: 'host', name: 'h7' }).map((step) => step.event.type);
 * ```
 */
export function explainSubject(
  inputs: readonly (readonly FleetEvent[])[],
  subject: Subject,
): ExplainedEvent[] {
  const graph = new EventGraph(inputs);
  const eventsByProcess = new Map(
    graph.processEvents.map((processEvents) => [processEvents[0]?.process, processEvents]),
  );
  const causes = new Map<string, string[]>();
  const unvisited = graph.processEvents
    .flat()
    .filter((event) => isAbout(event, subject))
    .filter((event) => subject.kind !== 'host' || !ROUTINE_EVENT_TYPES.has(event.type));
  for (let event = unvisited.pop(); event !== undefined; event = unvisited.pop()) {
    const key = formatEventKey(event);
    if (causes.has(key)) continue;
    const causingEvents = [
      graph.findCause(event),
      graph.findProposal(event),
      graph.findTrigger(event),
      findHostEvent(eventsByProcess.get(event.process) ?? [], event),
    ].filter((candidate) => candidate !== undefined);
    causes.set(key, [...new Set(causingEvents.map(formatEventKey))]);
    unvisited.push(...causingEvents);
  }
  return mergeTimelines(inputs)
    .map(({ event, skewMs }) => ({
      event,
      skewMs,
      causes: causes.get(formatEventKey(event)),
      isAboutSubject: isAbout(event, subject),
    }))
    .filter((step): step is ExplainedEvent => step.causes !== undefined);
}
