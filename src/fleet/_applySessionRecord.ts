import type { FleetData } from './_FleetData.js';
import type { LoggedRecord, RecordBody, SessionOpen } from '../record/mod.js';
import { ACCEPTED, reject, type Verdict } from './Verdict.js';

type SessionRecord = Extract<
  RecordBody,
  { type: 'session-open' | 'session-end' | 'session-confirm' }
>;

function markView(data: FleetData, record: LoggedRecord, dataCentre: string): void {
  data.views.set(dataCentre, record.offset);
}

function applyOpen(data: FleetData, record: LoggedRecord, body: SessionOpen): Verdict {
  const { type, ...session } = body;
  if (data.sessions.has(session.session)) return reject(`session "${session.session}" is open`);
  data.sessions.set(session.session, {
    ...session,
    openedOffset: record.offset,
    openedTime: record.time,
    confirmedOffset: record.offset,
  });
  if (session.role === 'gateway') markView(data, record, session.dataCentre);
  return ACCEPTED;
}

/** Folds a record about a session. */
export function applySessionRecord(
  data: FleetData,
  record: LoggedRecord,
  body: SessionRecord,
): Verdict {
  if (body.type === 'session-open') return applyOpen(data, record, body);
  const session = data.sessions.get(body.session);
  if (session === undefined) return reject(`session "${body.session}" is not open`);
  if (body.type === 'session-confirm') {
    session.confirmedOffset = Math.max(session.confirmedOffset, body.offset);
    return ACCEPTED;
  }
  data.sessions.delete(body.session);
  if (session.role === 'gateway') markView(data, record, session.dataCentre);
  return ACCEPTED;
}
