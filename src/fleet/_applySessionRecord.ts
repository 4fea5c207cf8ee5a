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

/** Returns whether every view that `session` may still use contains `other`. */
function isAlwaysInView(session: SessionState, other: SessionState): boolean {
  return other.openedOffset < session.openedOffset || session.confirmedOffset >= other.openedOffset;
}

/**
 * Drops ended sessions that can no longer affect slot shares, leases or repeated `session-open`s.
 */
function pruneEndedSessions(data: FleetData, dataCentre: string): void {
  const longestJobMs = Math.max(0, ...data.listObjects('service').map((one) => one.jobTimeoutMs));
  const retentionPeriodMs = Math.max(SESSION_LEASE_MS, RELEASE_DELAY_MS + longestJobMs);
  const ended = data.endedSessions.filter((one) => one.dataCentre === dataCentre);
  const isRecent = (one: EndedSession): boolean => data.time <= one.endedTime + retentionPeriodMs;
  const oldestConfirmedOffset = Math.min(
    ...listGateways(data, dataCentre).map((one) => one.confirmedOffset),
    ...ended.filter(isRecent).map((one) => one.confirmedOffset),
  );
  // eslint-disable-next-line no-param-reassign -- the fleet data is modified in place.
  data.endedSessions = data.endedSessions.filter(
    (one) =>
      one.dataCentre !== dataCentre || isRecent(one) || one.endedOffset > oldestConfirmedOffset,
  );
}

/** Updates the view of a data centre after its set of gateway sessions has changed. */
function updateView(data: FleetData, record: LoggedRecord, dataCentre: string): void {
  data.views.set(dataCentre, record.offset);
  pruneEndedSessions(data, dataCentre);
}

/** Raises the time until which claims may have been made without a session. */
function raiseClaimBarrier(session: SessionState, time: number): void {
  // eslint-disable-next-line no-param-reassign -- the fleet data is modified in place.
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
    // From this record on, each claim of the session includes the sessions that it has confirmed.
    listGateways(data, session.dataCentre)
      .filter((other) => !isAlwaysInView(session, other) && body.offset >= other.openedOffset)
      .forEach((other) => raiseClaimBarrier(other, record.time));
  }
  session.confirmedOffset = Math.max(session.confirmedOffset, body.offset);
  return ACCEPTED;
}

/** Raises the claim barriers of the sessions that the ended session may have left out of claims. */
function raiseClaimBarriers(
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
    .filter((other) => !isAlwaysInView(ended, other))
    .forEach((other) => raiseClaimBarrier(other, until));
}

/**
 * Chooses why the ended session makes no more claims: it ended itself, its claims need the consent
 * of a surviving session, or its lease expires.
 */
function chooseEndCause(data: FleetData, ended: SessionState, by: string): EndedSession['cause'] {
  if (by === ended.session) return 'self';
  const hasSurvivor = listGateways(data, ended.dataCentre).some(
    (one) => one !== ended && isAlwaysInView(ended, one),
  );
  return hasSurvivor ? 'survivor' : 'lease';
}

function closeGatewaySession(
  data: FleetData,
  record: LoggedRecord,
  session: SessionState,
  cause: EndedSession['cause'],
): void {
  data.sessions.delete(session.session);
  raiseClaimBarriers(data, session, { cause, endedTime: record.time });
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
  updateView(data, record, session.dataCentre);
}

/**
 * Ends the earlier sessions at the address of a new session. Only one process can listen on an
 * address, so either the process of the earlier session has ended, or the same process has replaced
 * the session and counts its jobs in flight under the new one. There is no need to wait for the
 * slots or the lease of the earlier session.
 */
function replaceSessions(data: FleetData, record: LoggedRecord, body: SessionOpen): void {
  const isReplaced = (one: { dataCentre: string; peerAddress: string }): boolean =>
    one.dataCentre === body.dataCentre && one.peerAddress === body.peerAddress;
  data.endedSessions.filter(isReplaced).forEach((one) => Object.assign(one, { cause: 'self' }));
  listGateways(data, body.dataCentre)
    .filter(isReplaced)
    .forEach((one) => closeGatewaySession(data, record, one, 'self'));
}

function applyOpen(data: FleetData, record: LoggedRecord, body: SessionOpen): Verdict {
  const { type, ...session } = body;
  if (data.sessions.has(session.session))
    return reject(`session "${session.session}" is already open`);
  // A record that is repeated after a lost answer must not reopen an ended session.
  if (data.endedSessions.some((one) => one.session === session.session)) {
    return reject(`session "${session.session}" has already ended`);
  }
  if (session.role === 'gateway') replaceSessions(data, record, body);
  data.sessions.set(session.session, {
    ...session,
    openedOffset: record.offset,
    openedTime: record.time,
    confirmedOffset: record.offset,
    claimBarrier: Math.max(record.time, data.claimLeases.get(session.dataCentre) ?? 0),
  });
  if (session.role === 'gateway') updateView(data, record, session.dataCentre);
  return ACCEPTED;
}

function applyEnd(data: FleetData, record: LoggedRecord, body: BodyOf<'session-end'>): Verdict {
  const session = data.sessions.get(body.session);
  if (session === undefined) return reject(`session "${body.session}" is not open`);
  const by = data.sessions.get(body.by);
  // If two sessions end each other, the later record must not leave the view empty.
  if (by === undefined) return reject(`session "${body.by}", which ends it, is not open`);
  if (by.role !== session.role || (by.role === 'gateway' && by.dataCentre !== session.dataCentre)) {
    return reject(`session "${body.by}" is not in the same view as "${body.session}"`);
  }
  if (session.role === 'gateway') {
    closeGatewaySession(data, record, session, chooseEndCause(data, session, body.by));
  } else data.sessions.delete(body.session);
  return ACCEPTED;
}

/** Applies a record about a session. */
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
