import { z } from 'zod';
import { ConfigChange } from './ConfigChange.js';
import { HostAssign, HostDrained, HostObserved, HostRelease, Maintenance } from './HostRecord.js';
import { PoolDemand } from './PoolDemand.js';
import { SessionConfirm, SessionEnd, SessionOpen } from './SessionRecord.js';

/** Payload of a record, discriminated by `type`. */
export const RecordBody = z.discriminatedUnion('type', [
  ConfigChange,
  HostObserved,
  HostAssign,
  HostRelease,
  HostDrained,
  Maintenance,
  PoolDemand,
  SessionOpen,
  SessionEnd,
  SessionConfirm,
]);
export type RecordBody = z.infer<typeof RecordBody>;

/** A record as appended to the log. `sequence` starts at 1 and increases by 1 for each writer. */
export const RecordEnvelope = z.object({
  writer: z.string().min(1),
  sequence: z.number().int().positive(),
  body: RecordBody,
});
export type RecordEnvelope = z.infer<typeof RecordEnvelope>;

/** An entry as returned by the log, whose value has not been validated. */
export const LogEntry = z.object({
  offset: z.number().int().nonnegative(),
  /** Time at which the platform appended the entry, in milliseconds since the Unix epoch. */
  time: z.number(),
  value: z.string(),
});
export type LogEntry = z.infer<typeof LogEntry>;

/** A validated record with its offset and append time. */
export interface LoggedRecord extends RecordEnvelope {
  offset: number;
  time: number;
}
