import type { Host, HostState } from '../host/mod.js';
import { computeDueTime, explainLateness } from '../wave/mod.js';
import { describeActivity, type HostActivity } from './describeActivity.js';
import type { Fleet } from './Fleet.js';

/** Description of a host for operators: what it does and why, since when, and what it waits for. */
export interface HostDescription {
  host: Host;
  state: HostState;
  activity: HostActivity;
  /** Revisions at which operators last changed the host and its pool. */
  revisions: { host: number; pool?: number };
  /** Gateway sessions that have not yet reported the draining host as drained. */
  waitsFor: string[];
  isPartitionSuspected: boolean;
  /** End of its maintenance period, in ms since the Unix epoch; absent if it is in no pool. */
  dueAt?: number;
  /** Why its maintenance is late; absent while it is on time. */
  lateReason?: string;
}

/**
 * Describes a host.
 *
 * @param options.now Milliseconds since the Unix epoch.
 * @returns The description; undefined if the host is not configured.
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
    activity: describeActivity(fleet, { host, state }),
    revisions: {
      host: data.configuration.findRevision('host', name),
      ...(state.pool && { pool: data.configuration.findRevision('pool', state.pool) }),
    },
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
