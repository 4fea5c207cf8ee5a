import { z } from 'zod';

/** Percentiles of a recorded quantity, in milliseconds. */
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

/** What a process spends. */
export const ProcessGauges = z.object({
  /** Processor time since the last reading, as a share of one core. */
  cpuShare: z.number(),
  /** Resident memory in bytes. */
  residentBytes: z.number(),
  heapBytes: z.number(),
  /** Delay of the event loop since the start of the process, in milliseconds. */
  eventLoopDelayP50Ms: z.number(),
  eventLoopDelayP99Ms: z.number(),
  eventLoopDelayMaxMs: z.number(),
  /** Bytes over all TCP connections of the process since its start. */
  bytesIn: z.number(),
  bytesOut: z.number(),
});
export type ProcessGauges = z.infer<typeof ProcessGauges>;

/** Everything that a process measures of itself. */
export const MetricsReport = z.object({
  latencies: z.record(z.string(), LatencyReport),
  counters: z.record(z.string(), z.number()),
});
export type MetricsReport = z.infer<typeof MetricsReport>;
