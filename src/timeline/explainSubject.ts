import { EventGraph, formatEventKey } from './_EventGraph.js';
import type { FleetEvent } from './FleetEvent.js';
import { mergeTimelines, type MergedEvent } from './mergeTimelines.js';

/** What an explanation is about. */
export interface Subject {
  kind: 'host' | 'request' | 'change';
  name: string;
  /**
   * Offsets and platform times of records that the fleet knows to have changed the subject. An
   * event about more hosts than it lists is about the subject if it is of one of these.
   */
  records?: { offsets: readonly number[]; times: readonly number[] };
}

/** A step of an explanation. */
export interface ExplainedEvent extends MergedEvent {
  /** Keys (`process#id`) of the steps that led to this one. */
  causes: string[];
  /** False for a step that is there only as a cause of one about the subject. */
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

/** Events of requests that went well say nothing about a host, and there are thousands of them. */
const ROUTINE_EVENT_TYPES = new Set(['request.sent', 'request.answered']);

/** A record that was only proposed, or that the fold did not accept, changed nothing. */
const NO_EFFECT_SUFFIX = /\.(proposed|rejected|duplicate)$/;

/** Finds the last event before `event`, in its process, that changed what is known of its host. */
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
 * Explains a host, a request or a change of the configuration as a chain of causes: the events about
 * it with everything that is known to have led to them, in merged order.
 *
 * Causes are the event that a process names itself, the proposal of the record that an event follows
 * from, the change or failure that led to a decision, and, for an event of a request at a host, what
 * the process last saw of that host.
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
