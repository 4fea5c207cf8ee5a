import type { Host, HostState } from '../host/mod.js';
import { computeDueTime, explainLateness } from '../wave/mod.js';
import type { Fleet } from './Fleet.js';

/** A host as operators read it: what it does, why, since when and what it waits for. */
export interface HostDescription {
  host: Host;
  state: HostState;
  /** Gateway sessions that have not reported the host drained, while it drains. */
  waitsFor: string[];
  isPartitionSuspected: boolean;
  /** End of its maintenance period; absent without a pool. Milliseconds since the Unix epoch. */
  dueAt?: number;
  /** Why it is late; absent while it is on time. */
  lateReason?: string;
}

/**
 * Describes a host.
 *
 * @param options.now Milliseconds since the Unix epoch.
 * @returns Undefined for a host that is not configured.
 * @example
 * ```ts
 * describeHost(fleet, { name: 'h7', now })?.state.phase; // 'granted'
 * ```
 */
export function describeHost(
  fleet: Fleet,
  { name, now }: { name: string; now: number },
): HostDescription | undefined {
  const { data } = fleet;
  const host = data.configuration.host.get(name)?.object;
  const state = fleet.findHostState(name);
  if (host === undefined || state === undefined) return undefined;
  const isDraining = state.phase === 'granted' || state.phase === 'releasing';
  const waitsFor = isDraining
    ? fleet
        .listGateways(host.dataCentre)
        .map(({ session }) => session)
        .filter((session) => !state.drainedBy.includes(session))
    : [];
  const isPartitionSuspected = data.index.isPartitionSuspected(host.dataCentre);
  const description = {
    host: structuredClone(host),
    state: structuredClone(state),
    waitsFor,
    isPartitionSuspected,
  };
  const pool = data.configuration.pool.get(state.pool ?? '')?.object;
  if (pool === undefined) return description;
  const terms = pool.maintenance;
  const dueAt = computeDueTime(state, terms);
  if (dueAt >= now) return { ...description, dueAt };
  const margin = data.index.getLedger(pool.name).computeMargin(pool);
  const lateReason = explainLateness({
    state,
    terms,
    now,
    margin,
    isPartitionSuspected,
    undrainedSessions: waitsFor,
  });
  return { ...description, dueAt, lateReason };
}
