import { build, type Histogram } from 'hdr-histogram-js';
import type { Gauge, LatencyReport, MetricsReport } from './MetricsReport.js';

/** Values are recorded in microseconds to keep fractions of a millisecond. */
const US_PER_MS = 1_000;
/** Longer than any request may take. Larger values are clamped to it. */
const MAX_LATENCY_MS = 3_600_000;

function describeHistogram(histogram: Histogram): LatencyReport {
  const read = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return {
    count: histogram.totalCount,
    mean: histogram.totalCount === 0 ? 0 : histogram.mean / US_PER_MS,
    p50: read(50),
    p90: read(90),
    p99: read(99),
    p999: read(99.9),
    max: histogram.maxValue / US_PER_MS,
  };
}

/**
 * Latency histograms, counters and current values of one process.
 *
 * @example
 * ```ts
 * const metrics = new Metrics();
 * metrics.recordLatency('request', 12.5);
 * metrics.increase('refused');
 * metrics.export().counters; // { refused: 1 }
 * ```
 */
export class Metrics {
  readonly #histograms = new Map<string, Histogram>();

  readonly #counters = new Map<string, number>();

  /** Gauges by name and labels. */
  readonly #gauges = new Map<string, Gauge>();

  /** Records a duration in milliseconds. */
  recordLatency(name: string, ms: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = build({ highestTrackableValue: MAX_LATENCY_MS * US_PER_MS, bitBucketSize: 32 });
      this.#histograms.set(name, histogram);
    }
    const bounded = Math.min(MAX_LATENCY_MS, Math.max(0, ms));
    histogram.recordValue(Math.round(bounded * US_PER_MS));
  }

  /** Increments a counter. */
  increase(name: string, by = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  /** Sets the current value of a gauge. */
  setGauge(gauge: Gauge): void {
    this.#gauges.set(JSON.stringify([gauge.name, gauge.labels]), gauge);
  }

  /** Removes the gauges with a label: the process no longer measures what they describe. */
  removeGauges(label: string): void {
    this.#gauges.forEach(({ labels }, key) => {
      if (label in labels) this.#gauges.delete(key);
    });
  }

  /** Exports the gauges, and all latencies and counters since the start of the process, by name. */
  export(): MetricsReport {
    const latencies = [...this.#histograms].map(([name, one]) => [name, describeHistogram(one)]);
    return {
      latencies: Object.fromEntries(latencies),
      counters: Object.fromEntries(this.#counters),
      ...(this.#gauges.size === 0 ? {} : { gauges: [...this.#gauges.values()] }),
    };
  }
}
