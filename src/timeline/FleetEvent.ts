import { z } from 'zod';

/** Something that a process did or saw, for the time line over all processes. */
export const FleetEvent = z.object({
  /** Counts events of one process; with `process` it identifies the event. */
  id: z.number().int().positive(),
  /** Session or name of the process. */
  process: z.string(),
  /** Wall-clock time in milliseconds. */
  wall: z.number(),
  /** Monotonic time of the process in milliseconds. */
  monotonic: z.number(),
  /** What happened, as `topic.verb`, for example `host.ejected`. */
  type: z.string(),
  /** What it is about. */
  host: z.string().optional(),
  /** Hosts of an event that is about several; the first ones when there are many. */
  hosts: z.array(z.string()).optional(),
  /** Number of hosts when `hosts` does not list all of them. */
  hostCount: z.number().int().optional(),
  pool: z.string().optional(),
  service: z.string().optional(),
  dataCentre: z.string().optional(),
  request: z.string().optional(),
  change: z.string().optional(),
  session: z.string().optional(),
  /** Offset of the record in the log that the event follows from. */
  offset: z.number().int().optional(),
  /** The record that the event follows from, as `writer/sequence`. */
  record: z.string().optional(),
  /** Platform time at which the record was appended, in milliseconds. */
  appendedAt: z.number().optional(),
  /** Offset of the record that led to the decision that the event is about. */
  because: z.number().int().optional(),
  /** The record that the event proposes, as `writer/sequence`; it precedes what follows from it. */
  proposes: z.string().optional(),
  /** Event of the same process that caused this one. */
  cause: z.number().int().optional(),
  detail: z.string().default(''),
});
export type FleetEvent = z.infer<typeof FleetEvent>;

/** What the recorder of an event states; the time line adds the rest. */
export type EventInput = Omit<z.input<typeof FleetEvent>, 'id' | 'process' | 'wall' | 'monotonic'>;
