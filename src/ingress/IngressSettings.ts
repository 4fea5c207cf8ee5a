import { z } from 'zod';

const KIB = 1_024;

/**
 * Bounds on what callers may occupy in a process. No client within the limits of the configuration
 * reaches the bounds of one connection: a body has at most 262,144 bytes, a header 16,384.
 */
export const IngressSettings = z.object({
  /** Requests of one connection that have arrived before the current one was answered. */
  maxRequestsAhead: z.number().int().positive().default(16),
  /** Bytes in memory of those requests. */
  maxAheadBytes: z
    .number()
    .int()
    .positive()
    .default(1_024 * KIB),
  /** Bytes of responses that wait for the caller to read them. */
  maxUnreadBytes: z
    .number()
    .int()
    .positive()
    .default(1_024 * KIB),
  /** Time in ms in which a caller that sends a request or reads a response must make progress. */
  progressTimeoutMs: z.number().positive().default(15_000),
  /** Bytes that count as progress. */
  minProgressBytes: z.number().int().positive().default(1_024),
  /** Bytes that the process may hold for the requests and responses of all connections. */
  maxHeldBytes: z
    .number()
    .int()
    .positive()
    .default(32 * 1_024 * KIB),
  /** Requests that are being served or wait, over all connections. */
  maxOpenRequests: z.number().int().positive().default(2_500),
  /** Open connections. */
  maxConnections: z.number().int().positive().default(3_000),
  /** Descriptors that are not available to callers: files, the store, hosts and other nodes. */
  reservedDescriptors: z.number().int().nonnegative().default(1_100),
  /** Upper limit of `maxHeaderBytes` of the configuration, which the HTTP parser enforces. */
  maxHeaderBytes: z
    .number()
    .int()
    .positive()
    .default(16 * KIB),
  /** `Retry-After` in ms of a request that is refused because the process is at its bounds. */
  retryAfterMs: z.number().positive().default(1_000),
});
export type IngressSettings = z.infer<typeof IngressSettings>;

/** For how long a caller may keep a connection open on which no request is being served. */
export const WaitLimits = z.object({
  /** Time in ms from the first byte of a request to the end of its header. */
  headerTimeoutMs: z.number().positive().default(3_000),
  /** Time in ms without a request, before the first one and between two of them. */
  idleTimeoutMs: z.number().positive().default(15_000),
});
export type WaitLimits = z.infer<typeof WaitLimits>;

/** Name of an exceeded time limit of `WaitLimits`, as metrics show it. */
export type WaitTimeout = 'header' | 'idle';

/** Name of a bound, as logs and metrics show it. */
export type IngressBound =
  | 'requests-ahead'
  | 'ahead-bytes'
  | 'unread-bytes'
  | 'progress'
  | 'held-bytes'
  | 'open-requests'
  | 'connections';
