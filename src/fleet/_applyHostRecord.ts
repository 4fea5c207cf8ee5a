import type { FleetData } from './_FleetData.js';
import type { LoggedRecord, RecordBody } from '../record/mod.js';
import { ACCEPTED, reject, type Verdict } from './Verdict.js';

type HostRecord = Exclude<
  RecordBody,
  { type: 'config-change' | 'session-open' | 'session-end' | 'session-confirm' }
>;
type BodyOf<Type extends HostRecord['type']> = Extract<HostRecord, { type: Type }>;

function applyObserved(
  data: FleetData,
  record: LoggedRecord,
  body: BodyOf<'host-observed'>,
): Verdict {
  body.observations.forEach(({ host, status }) => {
    const state = data.hostStates.get(host);
    if (state === undefined || state.status === status) return;
    state.status = status;
    state.statusSince = record.time;
  });
  return ACCEPTED;
}

function applyAssign(data: FleetData, record: LoggedRecord, body: BodyOf<'host-assign'>): Verdict {
  if (!data.configuration.pool.has(body.pool)) return reject(`unknown pool "${body.pool}"`);
  const reasons: string[] = [];
  body.hosts.forEach((host) => {
    const state = data.hostStates.get(host);
    if (state === undefined) reasons.push(`unknown host "${host}"`);
    else if (state.phase !== 'unassigned') reasons.push(`host "${host}" is ${state.phase}`);
    else {
      state.phase = 'serving';
      state.pool = body.pool;
      state.phaseSince = record.time;
    }
  });
  return reasons.length === 0 ? ACCEPTED : reject(...reasons);
}

/** Folds a record about hosts. */
export function applyHostRecord(data: FleetData, record: LoggedRecord, body: HostRecord): Verdict {
  switch (body.type) {
    case 'host-observed':
      return applyObserved(data, record, body);
    case 'host-assign':
      return applyAssign(data, record, body);
    default:
      return reject(`records of type "${body.type}" are not folded yet`);
  }
}
