import { compareEvents, EventGraph, formatEventKey } from './_EventGraph.js';
import type { FleetEvent } from './FleetEvent.js';

/** An event in the merged timeline. */
export interface MergedEvent {
  event: FleetEvent;
  /**
   * Detected clock skew: the minimum number of milliseconds by which the wall clock of the event is
   * behind that of an event that must precede it; 0 if no skew is detected.
   */
  skewMs: number;
}

interface ProcessCursor {
  events: FleetEvent[];
  next: number;
}

/** Chooses the earliest next event that is ready, or, if the causes form a cycle, the earliest. */
function chooseCursor(
  cursors: readonly ProcessCursor[],
  isReady: (event: FleetEvent) => boolean,
): ProcessCursor {
  let earliestReady: ProcessCursor | undefined;
  let earliest = cursors[0] as ProcessCursor;
  cursors.forEach((cursor) => {
    const event = cursor.events[cursor.next] as FleetEvent;
    if (compareEvents(event, earliest.events[earliest.next] as FleetEvent) < 0) earliest = cursor;
    if (!isReady(event)) return;
    const readyEvent = earliestReady?.events[earliestReady.next];
    if (readyEvent === undefined || compareEvents(event, readyEvent) < 0) earliestReady = cursor;
  });
  return earliestReady ?? earliest;
}

/**
 * Merges the timelines of several processes into a single order.
 *
 * Events of one process are ordered by id. The proposal of a record precedes the events that the
 * record causes in any process. Otherwise events are ordered by wall clock. The result does not
 * depend on the order of the inputs, and an event that is present in several inputs is included
 * once.
 *
 * @example
 * ```ts
 * const merged = mergeTimelines([gateway.list(), controller.list()]);
 * merged.map(({ event }) => event.type);
 * ```
 */
export function mergeTimelines(inputs: Iterable<readonly FleetEvent[]>): MergedEvent[] {
  const graph = new EventGraph(inputs);
  const merged: MergedEvent[] = [];
  const mergedKeys = new Set<string>();
  const isReady = (event: FleetEvent): boolean => {
    const proposal = graph.findProposal(event);
    return proposal === undefined || mergedKeys.has(formatEventKey(proposal));
  };
  let cursors: ProcessCursor[] = graph.processEvents.map((events) => ({ events, next: 0 }));
  while (cursors.length > 0) {
    const cursor = chooseCursor(cursors, isReady);
    const event = cursor.events[cursor.next] as FleetEvent;
    const before = [cursor.events[cursor.next - 1], graph.findProposal(event)];
    const skews = before.map((earlier) => (earlier ? earlier.wall - event.wall : 0));
    merged.push({ event, skewMs: Math.max(0, ...skews) });
    mergedKeys.add(formatEventKey(event));
    cursor.next += 1;
    if (cursor.next === cursor.events.length)
      cursors = cursors.filter((candidate) => candidate !== cursor);
  }
  return merged;
}
