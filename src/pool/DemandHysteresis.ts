import { z } from 'zod';

/** The load of one service as one gateway sees it. */
export const ServiceLoad = z.object({
  service: z.string(),
  /** Slots of upstream hosts that its jobs occupy. */
  busySlots: z.number().int().nonnegative(),
  /** Jobs that wait for a slot. */
  queuedJobs: z.number().int().nonnegative(),
});
export type ServiceLoad = z.infer<typeof ServiceLoad>;

/** A pool with what its present demand is compared with. Counts are hosts. */
export interface KnownPool {
  pool: string;
  need: number;
  headroom: number;
  /** What the fold has as the demand above the rules. */
  extra: number;
  /** Slots of a host, by service of the pool. */
  slotsPerHost: ReadonlyMap<string, number>;
}

/** A gateway reports about every 5 s; without a report for this long its load is not known. */
const REPORT_MS = 15_000;
/** Samples that are further apart, after a freeze or an outage, say nothing about the time between. */
const MAX_GAP_MS = 20_000;
/** Demand rises to the least of this time: a flood of some seconds leaves a lull in it. */
const RISE_MS = 120_000;
/** Demand falls to the greatest lasting load of this time, in which floods do not count either. */
const FALL_MS = 600_000;
/** A queue without end must not ask for the whole fleet; a pool at most doubles its need. */
const MAX_EXTRA_PER_NEED = 1;

interface Sample {
  at: number;
  hosts: number;
  /** Least load of the two minutes up to this sample. */
  lasting: number;
}

interface Report {
  at: number;
  loads: ReadonlyMap<string, number>;
}

/**
 * Turns the load that gateways report into the demand of pools, rarely and with hysteresis.
 *
 * The load is in hosts: busy slots and queued jobs divided by the slots of a host. What a pool wants
 * above its rules rises to the least load of two minutes, its lasting load, and falls to the greatest
 * lasting load of ten.
 *
 * @example
 * ```ts
 * hysteresis.report('g1', { loads: [{ service: 'match', busySlots: 60, queuedJobs: 90 }], now });
 * const demands = hysteresis.apply(pools, now); // [{ pool: 'match', extra: 3 }]
 * ```
 */
export class DemandHysteresis {
  readonly #reports = new Map<string, Report>();

  readonly #samples = new Map<string, Sample[]>();

  /** The demand of a pool in the fold and when it was first seen there. */
  readonly #folded = new Map<string, { extra: number; at: number }>();

  /** Takes note of the load that a gateway sees. `now` is monotonic, in milliseconds. */
  report(reporter: string, { loads, now }: { loads: readonly ServiceLoad[]; now: number }): void {
    const jobs = loads.map(
      ({ service, busySlots, queuedJobs }) => [service, busySlots + queuedJobs] as const,
    );
    this.#reports.set(reporter, { at: now, loads: new Map(jobs) });
  }

  /** Samples the load and returns the demands that differ from the fold. */
  apply(pools: readonly KnownPool[], now: number): { pool: string; extra: number }[] {
    this.#reports.forEach(({ at }, reporter) => {
      if (now - at > REPORT_MS) this.#reports.delete(reporter);
    });
    // Silence is no news: the gateways may be cut off, and the demand may go on.
    if (this.#reports.size === 0) return [];
    const names = new Set(pools.map(({ pool }) => pool));
    [...this.#samples.keys()].forEach((pool) => {
      if (names.has(pool)) return;
      this.#samples.delete(pool);
      this.#folded.delete(pool);
    });
    return pools.flatMap((known) => {
      const samples = this.#addSample(known, now);
      const seen = this.#folded.get(known.pool);
      const folded = seen?.extra === known.extra ? seen : { extra: known.extra, at: now };
      this.#folded.set(known.pool, folded);
      const extra = DemandHysteresis.#computeExtra(known, { samples, now });
      if (extra === known.extra) return [];
      // A load that ebbs away would otherwise lower the demand host by host, record by record.
      const { pool } = known;
      if (extra < known.extra && now - folded.at < RISE_MS) return [];
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
    const known = this.#samples.get(pool) ?? [];
    const isBroken = now - (known.at(-1)?.at ?? now) > MAX_GAP_MS;
    // One sample from before the window shows that the window is covered.
    const first = known.findLastIndex(({ at }) => now - at >= FALL_MS);
    const kept = isBroken ? [] : known.slice(Math.max(0, first));
    const load = Math.ceil(hosts);
    const recent = kept.filter(({ at }) => now - at <= RISE_MS).map((one) => one.hosts);
    const samples = [...kept, { at: now, hosts: load, lasting: Math.min(load, ...recent) }];
    this.#samples.set(pool, samples);
    return samples;
  }

  static #computeExtra(
    { need, headroom, extra }: KnownPool,
    { samples, now }: { samples: Sample[]; now: number },
  ): number {
    const coveredMs = now - (samples[0]?.at ?? now);
    const toExtra = (hosts: number): number =>
      Math.min(need * MAX_EXTRA_PER_NEED, Math.max(0, hosts - need - headroom));
    if (coveredMs >= RISE_MS) {
      const rise = toExtra(samples.at(-1)?.lasting ?? 0);
      if (rise > extra) return rise;
    }
    if (coveredMs < FALL_MS) return extra;
    const recent = samples.filter(({ at }) => now - at <= FALL_MS).map(({ lasting }) => lasting);
    return Math.min(extra, toExtra(Math.max(...recent)));
  }
}
