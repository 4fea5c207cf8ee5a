import { z } from 'zod';

/** Summary of a latency histogram, in milliseconds. */
export const LatencyReport = z.object({
  count: z.number().int(),
  mean: z.number(),
  p50: z.number(),
  p90: z.number(),
  p99: z.number(),
  p999: z.number(),
  max: z.number(),
});
export type LatencyReport = z.infer<typeof LatencyReport>;

/** Resource usage of a process. */
export const ProcessGauges = z.object({
  /** CPU time since the last reading, as a fraction of one core. */
  cpuShare: z.number(),
  /** Resident memory in bytes. */
  residentBytes: z.number(),
  heapBytes: z.number(),
  /** Event loop delay since the start of the process, in milliseconds. */
  eventLoopDelayP50Ms: z.number(),
  eventLoopDelayP99Ms: z.number(),
  eventLoopDelayMaxMs: z.number(),
  /** Bytes received and sent over all TCP connections since the start of the process. */
  bytesIn: z.number(),
  bytesOut: z.number(),
});
export type ProcessGauges = z.infer<typeof ProcessGauges>;

/** Latencies and counters of a process, by name. */
export const MetricsReport = z.object({
  latencies: z.record(z.string(), LatencyReport),
  counters: z.record(z.string(), z.number()),
  /** Current values; absent if the process has none. */
  values: z.record(z.string(), z.number()).optional(),
});
export type MetricsReport = z.infer<typeof MetricsReport>;
