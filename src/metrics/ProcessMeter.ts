import { monitorEventLoopDelay, performance } from 'node:perf_hooks';
import type { ProcessGauges } from './MetricsReport.js';
import { TrafficMeter } from './TrafficMeter.js';

const NS_PER_MS = 1e6;
const US_PER_MS = 1e3;
/** At 20 ms, the sampling timer takes less than 0.1% of a core. */
const DELAY_SAMPLING_MS = 20;

/**
 * Measures the resource usage of this process. The event loop delay includes the sampling interval
 * of 20 ms.
 *
 * @example
 * ```ts
 * const meter = new ProcessMeter();
 * meter.read().residentBytes;
 * meter.close();
 * ```
 */
export class ProcessMeter {
  readonly #delay = monitorEventLoopDelay({ resolution: DELAY_SAMPLING_MS });

  readonly #traffic = new TrafficMeter();

  #lastCpuUsage = process.cpuUsage();

  #lastReadAt = performance.now();

  constructor() {
    this.#delay.enable();
  }

  /** Reads the gauges. `cpuShare` covers the time since the last reading. */
  read(): ProcessGauges {
    const cpuUsage = process.cpuUsage(this.#lastCpuUsage);
    const now = performance.now();
    const elapsed = Math.max(1, now - this.#lastReadAt);
    this.#lastCpuUsage = process.cpuUsage();
    this.#lastReadAt = now;
    const memory = process.memoryUsage();
    return {
      cpuShare: (cpuUsage.user + cpuUsage.system) / US_PER_MS / elapsed,
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
