import { z } from 'zod';
import { HostState } from '../host/mod.js';
import { ConfigChange, OBJECT_SCHEMAS, SessionOpen } from '../record/mod.js';

/** Builds the schema of a configured object with the revision at which it last changed. */
function buildConfiguredObject<Schema extends z.ZodType>(schema: Schema) {
  return z.object({ object: schema, revision: z.number().int() });
}

/** An open gateway or controller session. Offsets refer to records of the log. */
export const SessionState = SessionOpen.omit({ type: true }).extend({
  openedOffset: z.number().int(),
  openedTime: z.number(),
  /** Highest offset that the session has confirmed. */
  confirmedOffset: z.number().int(),
  /**
   * Platform time after which every claim includes this session, provided that all older sessions
   * have confirmed it or have ended. It may lie in the future.
   */
  claimBarrier: z.number(),
});
export type SessionState = z.infer<typeof SessionState>;

/**
 * An ended gateway session that still affects slot shares or claims. `cause` states why it makes no
 * more claims: it ended itself (`self`), a surviving session rejects them (`survivor`), or its
 * lease expires (`lease`).
 */
export const EndedSession = SessionState.pick({
  session: true,
  dataCentre: true,
  peerAddress: true,
  openedOffset: true,
  confirmedOffset: true,
}).extend({
  endedOffset: z.number().int(),
  endedTime: z.number(),
  cause: z.enum(['self', 'survivor', 'lease']),
});
export type EndedSession = z.infer<typeof EndedSession>;

/** The data centres that apply to keys created at or after the platform time `inForceFrom`. */
export const DataCentreSet = z.object({ inForceFrom: z.number(), names: z.array(z.string()) });
export type DataCentreSet = z.infer<typeof DataCentreSet>;

/** The received parts of an incomplete change. */
export const PendingChange = z.object({
  /** Platform time of the first received part. */
  time: z.number(),
  parts: z.array(ConfigChange),
});
export type PendingChange = z.infer<typeof PendingChange>;

/** The whole state of the fleet at an offset, as plain JSON. */
export const FleetSnapshot = z.object({
  /** Offset of the next record to apply. */
  nextOffset: z.number().int().nonnegative(),
  /** Platform time of the last applied record. */
  time: z.number(),
  /** Offset after the last accepted configuration change; 0 if there is none. */
  revision: z.number().int().nonnegative(),
  dataCentres: z.array(buildConfiguredObject(OBJECT_SCHEMAS.dataCentre)),
  hosts: z.array(buildConfiguredObject(OBJECT_SCHEMAS.host)),
  pools: z.array(buildConfiguredObject(OBJECT_SCHEMAS.pool)),
  services: z.array(buildConfiguredObject(OBJECT_SCHEMAS.service)),
  teams: z.array(buildConfiguredObject(OBJECT_SCHEMAS.team)),
  /** Revision at which each removed object was removed, by `kind/name`. */
  removed: z.record(z.string(), z.number().int()),
  hostStates: z.record(z.string(), HostState),
  /** Hosts that a pool needs beyond its rules because of a sustained overload, by pool. */
  demands: z.record(z.string(), z.number().int()).default({}),
  sessions: z.array(SessionState),
  /** Ended gateway sessions, in the order in which they ended. */
  endedSessions: z.array(EndedSession),
  /** When the last lease of the sessions that ended without a survivor expires, by data centre. */
  claimLeases: z.record(z.string(), z.number()),
  /** Sets of data centres that may hold a key of an accepted age, oldest first. */
  dataCentreSets: z.array(DataCentreSet),
  /** Offset of the last change to the set of gateway sessions, by data centre. */
  views: z.record(z.string(), z.number().int()),
  /** Last applied sequence number and its time, by writer. */
  writers: z.record(z.string(), z.object({ sequence: z.number().int(), time: z.number() })),
  /** Received parts of incomplete changes, by change id. */
  pendingChanges: z.record(z.string(), PendingChange),
});
export type FleetSnapshot = z.infer<typeof FleetSnapshot>;
