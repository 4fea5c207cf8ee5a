import { z } from 'zod';

/** Least severe level of the log lines that a daemon writes. */
export const LogLevel = z.enum(['error', 'warn', 'info', 'debug']);
export type LogLevel = z.infer<typeof LogLevel>;

/** Settings that every daemon has for what it records about itself. */
export const OBSERVATION_SETTINGS = {
  logLevel: LogLevel.default('info'),
  /** Events kept for the time line; about 300 bytes each. */
  timelineEvents: z.number().int().min(100).max(100_000).default(10_000),
} as const;
