import { compareEvents, EventGraph, formatEventKey } from './_EventGraph.js';
import type { FleetEvent } from './FleetEvent.js';

/** An event at its place in the merged time line. */
export interface MergedEvent {
  event: FleetEvent;
  /**
   * By how many milliseconds the wall clock of the event is at least behind that of an event that
   * must precede it; 0 when nothing shows a skew.
   */
  skewMs: number;
}

interface Lane {
  events: FleetEvent[];
  next: number;
}

/** Chooses the earliest of the next events; without a ready one the causes contradict each other. */
function chooseLane(lanes: readonly Lane[], isReady: (event: FleetEvent) => boolean): Lane {
  let best: Lane | undefined;
  let earliest = lanes[0] as Lane;
  lanes.forEach((lane) => {
    const event = lane.events[lane.next] as FleetEvent;
    if (compareEvents(event, earliest.events[earliest.next] as FleetEvent) < 0) earliest = lane;
    if (!isReady(event)) return;
    const known = best?.events[best.next];
    if (known === undefined || compareEvents(event, known) < 0) best = lane;
  });
  return best ?? earliest;
}

/**
 * Merges the events of several processes into one order.
 *
 * Events of one process keep the order of their ids. The proposal of a record precedes the events
 * that follow from the record in any process. Everything else is ordered by wall clock. The result
 * does not depend on the order of the inputs, and an event that is in several inputs occurs once.
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
  const placed = new Set<string>();
  const isReady = (event: FleetEvent): boolean => {
    const proposal = graph.findProposal(event);
    return proposal === undefined || placed.has(formatEventKey(proposal));
  };
  let lanes: Lane[] = graph.lanes.map((events) => ({ events, next: 0 }));
  while (lanes.length > 0) {
    const lane = chooseLane(lanes, isReady);
    const event = lane.events[lane.next] as FleetEvent;
    const before = [lane.events[lane.next - 1], graph.findProposal(event)];
    const skews = before.map((earlier) => (earlier ? earlier.wall - event.wall : 0));
    merged.push({ event, skewMs: Math.max(0, ...skews) });
    placed.add(formatEventKey(event));
    lane.next += 1;
    if (lane.next === lane.events.length) lanes = lanes.filter((one) => one !== lane);
  }
  return merged;
}
