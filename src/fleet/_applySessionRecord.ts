import type { FleetData } from './_FleetData.js';
import type { LoggedRecord, RecordBody, SessionOpen } from '../record/mod.js';
import type { EndedSession, SessionState } from './FleetSnapshot.js';
import { RELEASE_DELAY_MS, SESSION_LEASE_MS } from './sessionTimes.js';
import { ACCEPTED, reject, type Verdict } from './Verdict.js';

type SessionRecord = Extract<
  RecordBody,
  { type: 'session-open' | 'session-end' | 'session-confirm' }
>;
type BodyOf<Type extends SessionRecord['type']> = Extract<SessionRecord, { type: Type }>;

function listGateways(data: FleetData, dataCentre: string): SessionState[] {
  return data.listSessions('gateway').filter((one) => one.dataCentre === dataCentre);
}

/** Whether every view that `session` may still use contains `other`. */
function isBoundTo(session: SessionState, other: SessionState): boolean {
  return other.openedOffset < session.openedOffset || session.confirmedOffset >= other.openedOffset;
}

/** Drops ended sessions that no share, lease or repeated `session-open` can concern any more. */
function pruneEnded(data: FleetData, dataCentre: string): void {
  const longestJobMs = Math.max(0, ...data.listObjects('service').map((one) => one.jobTimeoutMs));
  const keepMs = Math.max(SESSION_LEASE_MS, RELEASE_DELAY_MS + longestJobMs);
  const ended = data.endedSessions.filter((one) => one.dataCentre === dataCentre);
  const isRecent = (one: EndedSession): boolean => data.time <= one.endedTime + keepMs;
  const oldestInForce = Math.min(
    ...listGateways(data, dataCentre).map((one) => one.confirmedOffset),
    ...ended.filter(isRecent).map((one) => one.confirmedOffset),
  );
  // eslint-disable-next-line no-param-reassign -- the fold changes its data in place.
  data.endedSessions = data.endedSessions.filter(
    (one) => one.dataCentre !== dataCentre || isRecent(one) || one.endedOffset > oldestInForce,
  );
}

/** Sets the view's number and carries out what depends on the set of sessions. */
function markView(data: FleetData, record: LoggedRecord, dataCentre: string): void {
  data.views.set(dataCentre, record.offset);
  pruneEnded(data, dataCentre);
}

/** Raises the time up to which claims may exist of which a session does not know. */
function increaseBarrier(session: SessionState, time: number): void {
  // eslint-disable-next-line no-param-reassign -- the fold changes its data in place.
  session.claimBarrier = Math.max(session.claimBarrier, time);
}

function applyConfirm(
  data: FleetData,
  record: LoggedRecord,
  body: BodyOf<'session-confirm'>,
): Verdict {
  const session = data.sessions.get(body.session);
  if (session === undefined) return reject(`session "${body.session}" is not open`);
  if (body.offset > record.offset) return reject(`offset ${body.offset} is not in the log yet`);
  if (session.role === 'gateway') {
    // From this record on the session makes no claim without the sessions that it has confirmed.
    listGateways(data, session.dataCentre)
      .filter((other) => !isBoundTo(session, other) && body.offset >= other.openedOffset)
      .forEach((other) => increaseBarrier(other, record.time));
  }
  session.confirmedOffset = Math.max(session.confirmedOffset, body.offset);
  return ACCEPTED;
}

/** Raises the barriers of the sessions that the ended one may have left out of its claims. */
function updateBarriers(
  data: FleetData,
  ended: SessionState,
  end: Pick<EndedSession, 'cause' | 'endedTime'>,
): void {
  if (end.cause === 'survivor') return;
  const until = end.endedTime + (end.cause === 'lease' ? SESSION_LEASE_MS : 0);
  if (end.cause === 'lease') {
    data.claimLeases.set(
      ended.dataCentre,
      Math.max(until, data.claimLeases.get(ended.dataCentre) ?? 0),
    );
  }
  listGateways(data, ended.dataCentre)
    .filter((other) => !isBoundTo(ended, other))
    .forEach((other) => increaseBarrier(other, until));
}

/** Why the ended session makes no more claims: its own word, a survivor's consent, or its lease. */
function chooseCause(data: FleetData, ended: SessionState, by: string): EndedSession['cause'] {
  if (by === ended.session) return 'self';
  const hasSurvivor = listGateways(data, ended.dataCentre).some(
    (one) => one !== ended && isBoundTo(ended, one),
  );
  return hasSurvivor ? 'survivor' : 'lease';
}

function closeGateway(
  data: FleetData,
  record: LoggedRecord,
  session: SessionState,
  cause: EndedSession['cause'],
): void {
  data.sessions.delete(session.session);
  updateBarriers(data, session, { cause, endedTime: record.time });
  data.endedSessions.push({
    session: session.session,
    dataCentre: session.dataCentre,
    peerAddress: session.peerAddress,
    openedOffset: session.openedOffset,
    confirmedOffset: session.confirmedOffset,
    endedOffset: record.offset,
    endedTime: record.time,
    cause,
  });
  markView(data, record, session.dataCentre);
}

/**
 * Ends the sessions of the address at which a new one opens. Only one process can listen there, so
 * the earlier session has ended with its process, or the same process has given it up and counts
 * its jobs in flight as those of the new session. Its slots and its lease need not be waited for.
 */
function replaceSessions(data: FleetData, record: LoggedRecord, body: SessionOpen): void {
  const isReplaced = (one: { dataCentre: string; peerAddress: string }): boolean =>
    one.dataCentre === body.dataCentre && one.peerAddress === body.peerAddress;
  data.endedSessions.filter(isReplaced).forEach((one) => Object.assign(one, { cause: 'self' }));
  listGateways(data, body.dataCentre)
    .filter(isReplaced)
    .forEach((one) => closeGateway(data, record, one, 'self'));
}

function applyOpen(data: FleetData, record: LoggedRecord, body: SessionOpen): Verdict {
  const { type, ...session } = body;
  if (data.sessions.has(session.session)) return reject(`session "${session.session}" is open`);
  // A repeated record whose first answer was lost must not bring an ended session back.
  if (data.endedSessions.some((one) => one.session === session.session)) {
    return reject(`session "${session.session}" has ended`);
  }
  if (session.role === 'gateway') replaceSessions(data, record, body);
  data.sessions.set(session.session, {
    ...session,
    openedOffset: record.offset,
    openedTime: record.time,
    confirmedOffset: record.offset,
    claimBarrier: Math.max(record.time, data.claimLeases.get(session.dataCentre) ?? 0),
  });
  if (session.role === 'gateway') markView(data, record, session.dataCentre);
  return ACCEPTED;
}

function applyEnd(data: FleetData, record: LoggedRecord, body: BodyOf<'session-end'>): Verdict {
  const session = data.sessions.get(body.session);
  if (session === undefined) return reject(`session "${body.session}" is not open`);
  const by = data.sessions.get(body.by);
  // Two sessions that end each other: the later record must not leave the view empty.
  if (by === undefined) return reject(`session "${body.by}" that ends it is not open`);
  if (by.role !== session.role || (by.role === 'gateway' && by.dataCentre !== session.dataCentre)) {
    return reject(`session "${body.by}" is in no view with "${body.session}"`);
  }
  if (session.role === 'gateway') {
    closeGateway(data, record, session, chooseCause(data, session, body.by));
  } else data.sessions.delete(body.session);
  return ACCEPTED;
}

/** Folds a record about a session. */
export function applySessionRecord(
  data: FleetData,
  record: LoggedRecord,
  body: SessionRecord,
): Verdict {
  switch (body.type) {
    case 'session-open':
      return applyOpen(data, record, body);
    case 'session-confirm':
      return applyConfirm(data, record, body);
    default:
      return applyEnd(data, record, body);
  }
}
