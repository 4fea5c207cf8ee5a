import { z } from 'zod';

/** Minimum severity of the log lines that a daemon writes. */
export const LogLevel = z.enum(['error', 'warn', 'info', 'debug']);
export type LogLevel = z.infer<typeof LogLevel>;

/** Log and timeline settings of every daemon. */
export const OBSERVABILITY_SETTINGS = {
  logLevel: LogLevel.default('info'),
  /** Number of events kept in the timeline. An event takes about 300 bytes. */
  timelineEvents: z.number().int().min(100).max(100_000).default(10_000),
} as const;
