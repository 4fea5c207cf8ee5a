import { z } from 'zod';

/** The load of one service as reported by one gateway. */
export const ServiceLoad = z.object({
  service: z.string(),
  /** Number of slots on upstream hosts that its jobs occupy. */
  busySlots: z.number().int().nonnegative(),
  /** Number of jobs that wait for a slot. */
  queuedJobs: z.number().int().nonnegative(),
});
export type ServiceLoad = z.infer<typeof ServiceLoad>;

/** A pool as recorded in the fleet state. All counts are numbers of hosts. */
export interface KnownPool {
  pool: string;
  need: number;
  headroom: number;
  /** Recorded demand beyond `need` and `headroom`. */
  extra: number;
  /** Number of slots per host for each service of the pool. */
  slotsPerHost: ReadonlyMap<string, number>;
}

/** A gateway that sent no report for this time has unknown load; reports arrive about every 5 s. */
const REPORT_TTL_MS = 15_000;
/**
 * After a longer gap between samples, such as a process freeze or an outage, the earlier samples
 * are discarded, because the load in between is unknown.
 */
const MAX_SAMPLE_GAP_MS = 20_000;
/**
 * Demand rises to the minimum load in this window, which a flood of a few seconds does not raise.
 */
const RISE_WINDOW_MS = 120_000;
/** Demand falls to the maximum sustained load in this window; floods do not affect it either. */
const FALL_WINDOW_MS = 600_000;
/**
 * Lets demand at most double the need of a pool, so that an unbounded queue can't claim the fleet.
 */
const MAX_EXTRA_TO_NEED_RATIO = 1;

interface Sample {
  at: number;
  /** Load in hosts. */
  hosts: number;
  /** Minimum load in the rise window that ends with this sample. */
  sustainedHosts: number;
}

interface Report {
  at: number;
  /** Number of running and queued jobs by service. */
  loads: ReadonlyMap<string, number>;
}

/**
 * Derives the demand of pools from the load that gateways report. Hysteresis keeps changes rare.
 *
 * Load is measured in hosts: busy slots plus queued jobs, divided by the slots per host. The
 * sustained load is the minimum load over two minutes. The demand beyond the rules of a pool rises
 * to the sustained load and falls to the maximum sustained load over ten minutes.
 *
 * @example
 * ```ts
 * estimator.report('g1', { loads: [{ service: 'match', busySlots: 60, queuedJobs: 90 }], now });
 * const demands = estimator.apply(pools, now); // [{ pool: 'match', extra: 3 }]
 * ```
 */
export class DemandEstimator {
  readonly #reports = new Map<string, Report>();

  readonly #samples = new Map<string, Sample[]>();

  /** The recorded demand of each pool and when this value was first observed. */
  readonly #recorded = new Map<string, { extra: number; at: number }>();

  /** Stores the load that a gateway reports. `now` is monotonic time in milliseconds. */
  report(reporter: string, { loads, now }: { loads: readonly ServiceLoad[]; now: number }): void {
    const jobs = loads.map(
      ({ service, busySlots, queuedJobs }) => [service, busySlots + queuedJobs] as const,
    );
    this.#reports.set(reporter, { at: now, loads: new Map(jobs) });
  }

  /** Samples the load and returns the demands that differ from the recorded ones. */
  apply(pools: readonly KnownPool[], now: number): { pool: string; extra: number }[] {
    this.#reports.forEach(({ at }, reporter) => {
      if (now - at > REPORT_TTL_MS) this.#reports.delete(reporter);
    });
    // Without reports the load is unknown: the gateways may be unreachable while demand continues.
    if (this.#reports.size === 0) return [];
    const names = new Set(pools.map(({ pool }) => pool));
    [...this.#samples.keys()].forEach((pool) => {
      if (names.has(pool)) return;
      this.#samples.delete(pool);
      this.#recorded.delete(pool);
    });
    return pools.flatMap((known) => {
      const samples = this.#addSample(known, now);
      const previous = this.#recorded.get(known.pool);
      const recorded = previous?.extra === known.extra ? previous : { extra: known.extra, at: now };
      this.#recorded.set(known.pool, recorded);
      const extra = DemandEstimator.#computeExtra(known, { samples, now });
      if (extra === known.extra) return [];
      // Without this delay, a gradual decline would lower the demand host by host, with a record
      // each.
      const { pool } = known;
      if (extra < known.extra && now - recorded.at < RISE_WINDOW_MS) return [];
      return [{ pool, extra }];
    });
  }

  #addSample({ pool, slotsPerHost }: KnownPool, now: number): Sample[] {
    let hosts = 0;
    slotsPerHost.forEach((slots, service) => {
      this.#reports.forEach(({ loads }) => {
        hosts += (loads.get(service) ?? 0) / slots;
      });
    });
    const previous = this.#samples.get(pool) ?? [];
    const hasGap = now - (previous.at(-1)?.at ?? now) > MAX_SAMPLE_GAP_MS;
    // One sample from before the window is kept as evidence that the whole window is covered.
    const first = previous.findLastIndex(({ at }) => now - at >= FALL_WINDOW_MS);
    const retained = hasGap ? [] : previous.slice(Math.max(0, first));
    const load = Math.ceil(hosts);
    const recent = retained
      .filter(({ at }) => now - at <= RISE_WINDOW_MS)
      .map((sample) => sample.hosts);
    const samples = [
      ...retained,
      { at: now, hosts: load, sustainedHosts: Math.min(load, ...recent) },
    ];
    this.#samples.set(pool, samples);
    return samples;
  }

  static #computeExtra(
    { need, headroom, extra }: KnownPool,
    { samples, now }: { samples: Sample[]; now: number },
  ): number {
    const coveredMs = now - (samples[0]?.at ?? now);
    const toExtra = (hosts: number): number =>
      Math.min(need * MAX_EXTRA_TO_NEED_RATIO, Math.max(0, hosts - need - headroom));
    if (coveredMs >= RISE_WINDOW_MS) {
      const rise = toExtra(samples.at(-1)?.sustainedHosts ?? 0);
      if (rise > extra) return rise;
    }
    if (coveredMs < FALL_WINDOW_MS) return extra;
    const recent = samples
      .filter(({ at }) => now - at <= FALL_WINDOW_MS)
      .map(({ sustainedHosts }) => sustainedHosts);
    return Math.min(extra, toExtra(Math.max(...recent)));
  }
}
