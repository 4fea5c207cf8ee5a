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

function applyObserved(
  data: FleetData,
  record: LoggedRecord,
  body: BodyOf<'host-observed'>,
): Verdict {
  const ignored: string[] = [];
  body.observations.forEach(({ host, status }) => {
    const state = data.hostStates.get(host);
    if (state === undefined) ignored.push(`unknown host "${host}"`);
    else if (state.status !== status) {
      data.changeHost(host, { ...state, status, statusSince: record.time });
    }
  });
  return acceptReport(ignored);
}

/** Why a report that a host is drained says nothing about the present drain. */
function explainIgnored(
  state: HostState | undefined,
  host: Host | undefined,
  report: { dataCentre: string; offset: number },
): string | undefined {
  if (state === undefined || host === undefined) return 'is unknown';
  if (state.phase !== 'granted' && state.phase !== 'releasing') return `is ${state.phase}`;
  if (host.dataCentre !== report.dataCentre) return `is not in "${report.dataCentre}"`;
  if (report.offset <= state.drainOffset) return `drains only since offset ${state.drainOffset}`;
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
      data.changeHost(name, { ...state, drainedBy: [...state.drainedBy, body.session] });
    }
  });
  return acceptReport(ignored);
}

/** Folds a decision host by host; the first reason against it takes back the whole record. */
function applyDecision(data: FleetData, record: LoggedRecord, body: HostDecision): Verdict {
  const transition = new HostTransition(data, record, body);
  const before: [string, HostState][] = [];
  for (const name of body.hosts) {
    const state = data.hostStates.get(name);
    const reason = transition.apply(name);
    if (reason !== undefined) {
      before.reverse().forEach(([host, old]) => data.changeHost(host, old));
      return reject(reason);
    }
    if (state !== undefined) before.push([name, state]);
  }
  return ACCEPTED;
}

/** Folds a record about hosts. Reports apply entry by entry, decisions whole or not at all. */
export function applyHostRecord(data: FleetData, record: LoggedRecord, body: HostRecord): Verdict {
  switch (body.type) {
    case 'host-observed':
      return applyObserved(data, record, body);
    case 'host-drained':
      return applyDrained(data, body);
    default:
      return applyDecision(data, record, body);
  }
}
