import { monitorEventLoopDelay, performance } from 'node:perf_hooks';
import type { ProcessGauges } from './MetricsReport.js';
import { TrafficMeter } from './TrafficMeter.js';

const NS_PER_MS = 1e6;
const US_PER_MS = 1e3;
/** 20 ms keep the cost of the sampling timer below 0.1% of a core. */
const DELAY_RESOLUTION_MS = 20;

/**
 * Measures what this process spends. The delay of the event loop includes the resolution of its
 * timer, 20 ms.
 *
 * @example
 * ```ts
 * const meter = new ProcessMeter();
 * meter.read().residentBytes;
 * meter.close();
 * ```
 */
export class ProcessMeter {
  readonly #delay = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });

  readonly #traffic = new TrafficMeter();

  #cpu = process.cpuUsage();

  #readAt = performance.now();

  constructor() {
    this.#delay.enable();
  }

  /** Reads the gauges; the share of processor time covers the time since the last reading. */
  read(): ProcessGauges {
    const spent = process.cpuUsage(this.#cpu);
    const now = performance.now();
    const elapsed = Math.max(1, now - this.#readAt);
    this.#cpu = process.cpuUsage();
    this.#readAt = now;
    const memory = process.memoryUsage();
    return {
      cpuShare: (spent.user + spent.system) / US_PER_MS / elapsed,
      residentBytes: memory.rss,
      heapBytes: memory.heapUsed,
      eventLoopDelayP50Ms: this.#delay.percentile(50) / NS_PER_MS,
      eventLoopDelayP99Ms: this.#delay.percentile(99) / NS_PER_MS,
      eventLoopDelayMaxMs: this.#delay.max / NS_PER_MS,
      ...this.#traffic.read(),
    };
  }

  /** Stops measuring. */
  close(): void {
    this.#delay.disable();
    this.#traffic.close();
  }
}
