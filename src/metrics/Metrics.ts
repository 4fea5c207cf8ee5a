import { build, type Histogram } from 'hdr-histogram-js';
import { z } from 'zod';

/** Longest time told apart: a job of an hour. */
const HIGHEST_MICROS = 3_600_000_000;
const MICROS_PER_MS = 1_000;

/** A latency histogram in milliseconds, as exported. */
export const LatencySummary = z.object({
  count: z.number().int(),
  mean: z.number(),
  p50: z.number(),
  p90: z.number(),
  p99: z.number(),
  max: z.number(),
});
export type LatencySummary = z.infer<typeof LatencySummary>;

/** All metrics of a process at one moment. */
export const MetricsExport = z.object({
  counters: z.record(z.string(), z.number()),
  latencies: z.record(z.string(), LatencySummary),
});
export type MetricsExport = z.infer<typeof MetricsExport>;

function describeHistogram(histogram: Histogram): LatencySummary {
  const find = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  return {
    count: histogram.totalCount,
    mean: histogram.totalCount === 0 ? 0 : histogram.mean / MICROS_PER_MS,
    p50: find(50),
    p90: find(90),
    p99: find(99),
    max: histogram.maxValue / MICROS_PER_MS,
  };
}

/**
 * The counters and latency histograms of one process.
 *
 * @example
 * ```ts
 * const metrics = new Metrics();
 * metrics.increase('jobs.shed');
 * metrics.recordLatency('jobs.match', 12.5);
 * metrics.export().latencies['jobs.match']?.p99; // 12.5, to two digits
 * ```
 */
export class Metrics {
  readonly #counters = new Map<string, number>();

  readonly #latencies = new Map<string, Histogram>();

  /** Records a time in milliseconds. */
  recordLatency(name: string, milliseconds: number): void {
    let histogram = this.#latencies.get(name);
    if (histogram === undefined) {
      // Two digits keep a histogram at some tens of kilobytes.
      histogram = build({ numberOfSignificantValueDigits: 2, autoResize: true });
      this.#latencies.set(name, histogram);
    }
    const micros = Math.round(milliseconds * MICROS_PER_MS);
    histogram.recordValue(Math.min(HIGHEST_MICROS, Math.max(0, micros)));
  }

  /** Increases a counter. */
  increase(name: string, by = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  /** Exports everything as plain values, in the order of names. */
  export(): MetricsExport {
    const latencies = [...this.#latencies]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([name, histogram]) => [name, describeHistogram(histogram)] as const);
    return {
      counters: Object.fromEntries([...this.#counters].sort()),
      latencies: Object.fromEntries(latencies),
    };
  }
}
