import { RELEASE_DELAY_MS, type EndedSession, type Fleet } from '../fleet/mod.js';

/** Whether an ended session may still send: another ended it, and it may not know this yet. */
function canStillSend(ended: EndedSession, now: number, longestJobMs: number): boolean {
  return ended.cause !== 'self' && now <= ended.endedTime + RELEASE_DELAY_MS + longestJobMs;
}

/**
 * Collects the membership views of a data centre that any session may still be using, oldest first.
 * Each view is the list of its session ids.
 *
 * The oldest view is the one that the slowest session has confirmed. A session that takes the
 * smallest of its shares over these views never uses a slot that another session counts as its own:
 * any two sessions that may send have a view in common, and the shares in one view add up to the
 * total.
 *
 * @param now Lower bound of the platform time in milliseconds.
 */
export function collectShareViews(fleet: Fleet, dataCentre: string, now: number): string[][] {
  const open = fleet.listGateways(dataCentre);
  const ended = fleet.data.endedSessions.filter((session) => session.dataCentre === dataCentre);
  const services = fleet.data.listObjects('service');
  const longestJobMs = Math.max(0, ...services.map((service) => service.jobTimeoutMs));
  const possibleSenders = [
    ...open,
    ...ended.filter((session) => canStillSend(session, now, longestJobMs)),
  ];
  const oldest = Math.min(...possibleSenders.map((session) => session.confirmedOffset));
  const sessions = [
    ...open.map((session) => ({ ...session, endedOffset: Infinity })),
    ...ended.filter((session) => session.endedOffset > oldest),
  ];
  const changes = sessions.flatMap((session) => [session.openedOffset, session.endedOffset]);
  const offsets = [oldest, ...changes.filter((at) => at > oldest && at < Infinity)];
  return [...new Set(offsets)]
    .sort((a, b) => a - b)
    .map((at) =>
      sessions
        .filter((session) => session.openedOffset <= at && session.endedOffset > at)
        .map((session) => session.session),
    );
}
