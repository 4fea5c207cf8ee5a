import { z } from 'zod';

/** A gateway's answer to a heartbeat: its session and how far it has read the log. */
export const Heartbeat = z.object({ session: z.string(), nextOffset: z.number().int() });
export type Heartbeat = z.infer<typeof Heartbeat>;
