import { z } from 'zod';

/** An action or observation of a process, as recorded in its timeline. */
export const FleetEvent = z.object({
  /** Sequence number within the process; identifies the event together with `process`. */
  id: z.number().int().positive(),
  /** Session id or name of the process. */
  process: z.string(),
  /** Wall-clock time in milliseconds. */
  wall: z.number(),
  /** Monotonic clock of the process in milliseconds. */
  monotonic: z.number(),
  /** Event type in the form `topic.verb`, for example `host.ejected`. */
  type: z.string(),
  /** Host that the event concerns; `pool` to `session` name other kinds of subjects. */
  host: z.string().optional(),
  /** Hosts of an event that concerns several; truncated to the first ones if there are many. */
  hosts: z.array(z.string()).optional(),
  /** Total number of hosts if `hosts` is truncated. */
  hostCount: z.number().int().optional(),
  pool: z.string().optional(),
  service: z.string().optional(),
  dataCentre: z.string().optional(),
  request: z.string().optional(),
  change: z.string().optional(),
  session: z.string().optional(),
  /** Log offset of the record that caused the event. */
  offset: z.number().int().optional(),
  /** The record that caused the event, as `writer/sequence`. */
  record: z.string().optional(),
  /** Platform time at which the record was appended, in milliseconds. */
  appendedAt: z.number().optional(),
  /** Offset of the record that triggered the decision that the event concerns. */
  because: z.number().int().optional(),
  /** The record proposed by this event, as `writer/sequence`; the proposal precedes its effects. */
  proposes: z.string().optional(),
  /** Id of the event of the same process that caused this one. */
  cause: z.number().int().optional(),
  detail: z.string().default(''),
});
export type FleetEvent = z.infer<typeof FleetEvent>;

/** The fields supplied when an event is recorded; the timeline adds the others. */
export type EventInput = Omit<z.input<typeof FleetEvent>, 'id' | 'process' | 'wall' | 'monotonic'>;
