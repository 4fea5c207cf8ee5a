import type { Host, HostState } from '../host/mod.js';
import type { LoggedRecord, RecordBody } from '../record/mod.js';
import type { FleetData } from './_FleetData.js';
import { HostTransition, type HostDecision } from './_HostTransition.js';
import { ACCEPTED, reject, type Verdict } from './Verdict.js';

type HostRecord = Exclude<
  RecordBody,
  { type: 'config-change' | 'session-open' | 'session-end' | 'session-confirm' }
>;
type BodyOf<Type extends HostRecord['type']> = Extract<HostRecord, { type: Type }>;

function acceptReport(ignored: string[]): Verdict {
  return ignored.length === 0 ? ACCEPTED : { outcome: 'accepted', ignored };
}

type Observation = BodyOf<'host-observed'>['observations'][number];

/**
 * Computes the state of a host after an observation; undefined if the observation is ignored.
 *
 * A faulty host returns to service only when gateways report it as healthy or when it comes back
 * from maintenance. The platform's host list always shows it as live, so it would otherwise keep
 * receiving work and failing it.
 */
function computeObservedState(
  state: HostState,
  { status, source }: Observation,
  time: number,
): HostState | undefined {
  const isGateways = source === 'gateways';
  const isRepaired = isGateways || state.phase === 'maintenance';
  if (state.isFaulty && status !== 'failed' && !isRepaired) return undefined;
  const { isFaulty, ...rest } = state;
  const becomesFaulty = status === 'failed' && (isGateways || isFaulty);
  const statusSince = status === state.status ? state.statusSince : time;
  return { ...rest, status, statusSince, ...(becomesFaulty && { isFaulty: true as const }) };
}

function applyObserved(
  data: FleetData,
  record: LoggedRecord,
  body: BodyOf<'host-observed'>,
): Verdict {
  const ignored: string[] = [];
  body.observations.forEach((observation) => {
    const { host } = observation;
    const state = data.hostStates.get(host);
    const after = state && computeObservedState(state, observation, record.time);
    if (state === undefined) ignored.push(`unknown host "${host}"`);
    else if (after === undefined)
      ignored.push(`host "${host}" is faulty and not reported as healthy`);
    else if (after.status !== state.status || after.isFaulty !== state.isFaulty) {
      data.setHostState(host, after);
    }
  });
  return acceptReport(ignored);
}

/** Explains why a report that a host is drained does not apply to its current drain. */
function explainIgnored(
  state: HostState | undefined,
  host: Host | undefined,
  report: { dataCentre: string; offset: number },
): string | undefined {
  if (state === undefined || host === undefined) return 'is unknown';
  if (state.phase !== 'granted' && state.phase !== 'releasing') return `is ${state.phase}`;
  if (host.dataCentre !== report.dataCentre) return `is not in "${report.dataCentre}"`;
  if (report.offset <= state.drainOffset)
    return `has been draining only since offset ${state.drainOffset}`;
  return undefined;
}

function applyDrained(data: FleetData, body: BodyOf<'host-drained'>): Verdict {
  const session = data.sessions.get(body.session);
  if (session?.role !== 'gateway') return reject(`no open gateway session "${body.session}"`);
  const offset = body.offset ?? session.confirmedOffset;
  const ignored: string[] = [];
  body.hosts.forEach((name) => {
    const state = data.hostStates.get(name);
    const host = data.configuration.host.get(name)?.object;
    const reason = explainIgnored(state, host, { dataCentre: session.dataCentre, offset });
    if (reason !== undefined) ignored.push(`host "${name}" ${reason}`);
    else if (state !== undefined && !state.drainedBy.includes(body.session)) {
      data.setHostState(name, { ...state, drainedBy: [...state.drainedBy, body.session] });
    }
  });
  return acceptReport(ignored);
}

/** Applies a decision host by host. The first rejected host reverts the whole record. */
function applyDecision(data: FleetData, record: LoggedRecord, body: HostDecision): Verdict {
  const transition = new HostTransition(data, record, body);
  const before: [string, HostState][] = [];
  for (const name of body.hosts) {
    const state = data.hostStates.get(name);
    const reason = transition.apply(name);
    if (reason !== undefined) {
      before.reverse().forEach(([host, old]) => data.setHostState(host, old));
      return reject(reason);
    }
    if (state !== undefined) before.push([name, state]);
  }
  return ACCEPTED;
}

function applyDemand(data: FleetData, body: BodyOf<'pool-demand'>): Verdict {
  const ignored: string[] = [];
  body.demands.forEach(({ pool, extra }) => {
    if (!data.configuration.pool.has(pool)) ignored.push(`unknown pool "${pool}"`);
    else if (extra === 0) data.demands.delete(pool);
    else data.demands.set(pool, extra);
  });
  return acceptReport(ignored);
}

/** Applies a record about hosts. Reports apply entry by entry, decisions atomically. */
export function applyHostRecord(data: FleetData, record: LoggedRecord, body: HostRecord): Verdict {
  switch (body.type) {
    case 'host-observed':
      return applyObserved(data, record, body);
    case 'pool-demand':
      return applyDemand(data, body);
    case 'host-drained':
      return applyDrained(data, body);
    default:
      return applyDecision(data, record, body);
  }
}
