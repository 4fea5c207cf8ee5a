import { EventGraph } from './_EventGraph.js';
import type { FleetEvent } from './FleetEvent.js';

/** A maintenance grant that was withdrawn. */
export interface Withdrawal {
  host: string;
  /** Platform time of the record in milliseconds. */
  at: number;
  reason: string;
}

/**
 * Lists the hosts whose maintenance grant was withdrawn and not granted again, latest first.
 *
 * The state of a host does not record withdrawals, so only those within the timelines are found.
 *
 * @example
 * ```ts
 * listWithdrawals([controller.list()])[0]?.host; // 'h7'
 * ```
 */
export function listWithdrawals(inputs: readonly (readonly FleetEvent[])[]): Withdrawal[] {
  const graph = new EventGraph(inputs);
  const records = new Map<number, FleetEvent>();
  graph.processEvents.flat().forEach((event) => {
    if (event.offset === undefined || event.record === undefined) return;
    if (/^maintenance-(grant|withdraw)\.accepted$/.test(event.type)) {
      records.set(event.offset, event);
    }
  });
  const lastEvents = new Map<string, FleetEvent>();
  [...records]
    .sort(([a], [b]) => a - b)
    .forEach(([, event]) => event.hosts?.forEach((host) => lastEvents.set(host, event)));
  return [...lastEvents]
    .filter(([, event]) => event.type === 'maintenance-withdraw.accepted')
    .map(([host, event]) => {
      const trigger = graph.findTrigger(event);
      const cause = trigger === undefined ? '' : ` (offset ${trigger.offset}: ${trigger.detail})`;
      const at = event.appendedAt ?? event.wall;
      return { host, at, reason: `losses used up the budget of its pool${cause}` };
    })
    .sort((a, b) => b.at - a.at);
}
