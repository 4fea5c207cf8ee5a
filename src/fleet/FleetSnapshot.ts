import { z } from 'zod';
import { HostState } from '../host/mod.js';
import { ConfigChange, OBJECT_SCHEMAS, SessionOpen } from '../record/mod.js';

/** A configured object with the revision at which it last changed. */
function buildConfigured<Schema extends z.ZodType>(schema: Schema) {
  return z.object({ object: schema, revision: z.number().int() });
}

/** A gateway or controller session. Offsets are those of its records. */
export const SessionState = SessionOpen.omit({ type: true }).extend({
  openedOffset: z.number().int(),
  openedTime: z.number(),
  /** Latest offset that the session has confirmed. */
  confirmedOffset: z.number().int(),
  /**
   * Platform time after which no claim is made without this session, as far as all older sessions
   * have confirmed it or have ended. It may lie in the future.
   */
  claimBarrier: z.number(),
});
export type SessionState = z.infer<typeof SessionState>;

/**
 * A gateway session that has ended and still matters for slot shares or claims. `cause` tells why it
 * makes no more claims: it ended itself, a surviving session refuses them, or its lease runs out.
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

/** The configured data centres in force for keys created from a platform time on. */
export const DataCentreSet = z.object({ inForceFrom: z.number(), names: z.array(z.string()) });
export type DataCentreSet = z.infer<typeof DataCentreSet>;

/** The parts received of a change that is not complete yet. */
export const PendingChange = z.object({
  /** Platform time of the first part. */
  time: z.number(),
  parts: z.array(ConfigChange),
});
export type PendingChange = z.infer<typeof PendingChange>;

/** The whole state of the fleet at an offset, as plain JSON. */
export const FleetSnapshot = z.object({
  /** Offset of the next record to fold. */
  nextOffset: z.number().int().nonnegative(),
  /** Platform time of the last record folded. */
  time: z.number(),
  /** Offset after the last accepted change of the configuration; 0 for none. */
  revision: z.number().int().nonnegative(),
  dataCentres: z.array(buildConfigured(OBJECT_SCHEMAS.dataCentre)),
  hosts: z.array(buildConfigured(OBJECT_SCHEMAS.host)),
  pools: z.array(buildConfigured(OBJECT_SCHEMAS.pool)),
  services: z.array(buildConfigured(OBJECT_SCHEMAS.service)),
  teams: z.array(buildConfigured(OBJECT_SCHEMAS.team)),
  /** Revisions at which objects were removed, by `kind/name`. */
  removed: z.record(z.string(), z.number().int()),
  hostStates: z.record(z.string(), HostState),
  /** Hosts above its rules that a lasting overload asks for, by pool. */
  demands: z.record(z.string(), z.number().int()).default({}),
  sessions: z.array(SessionState),
  /** Gateway sessions that have ended, in the order of their ends. */
  endedSessions: z.array(EndedSession),
  /** When the last lease of sessions ended without a survivor runs out, by data centre. */
  claimLeases: z.record(z.string(), z.number()),
  /** Sets of data centres that a key of an accepted age may be homed in, oldest first. */
  dataCentreSets: z.array(DataCentreSet),
  /** Offset that last changed the set of gateway sessions, by data centre. */
  views: z.record(z.string(), z.number().int()),
  /** Last sequence folded and its time, by writer. */
  writers: z.record(z.string(), z.object({ sequence: z.number().int(), time: z.number() })),
  /** Parts received of changes that are not complete yet, by change id. */
  pendingChanges: z.record(z.string(), PendingChange),
});
export type FleetSnapshot = z.infer<typeof FleetSnapshot>;
