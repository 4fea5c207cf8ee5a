import { z } from 'zod';
import { ConfigChange } from './ConfigChange.js';
import { HostAssign, HostDrained, HostObserved, HostRelease, Maintenance } from './HostRecord.js';
import { PoolDemand } from './PoolDemand.js';
import { SessionConfirm, SessionEnd, SessionOpen } from './SessionRecord.js';

/** What a record says, told apart by `type`. */
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

/** A record as a writer appends it. `sequence` counts 1, 2, ... for each writer. */
export const RecordEnvelope = z.object({
  writer: z.string().min(1),
  sequence: z.number().int().positive(),
  body: RecordBody,
});
export type RecordEnvelope = z.infer<typeof RecordEnvelope>;

/** A value as the log returns it, not yet checked. */
export const LogEntry = z.object({
  offset: z.number().int().nonnegative(),
  /** Append time of the platform, in milliseconds since the Unix epoch. */
  time: z.number(),
  value: z.string(),
});
export type LogEntry = z.infer<typeof LogEntry>;

/** A checked record at its place in the log. */
export interface LoggedRecord extends RecordEnvelope {
  offset: number;
  time: number;
}
