import { FleetProjector, type Fleet } from '../fleet/mod.js';
import type { KnownPool } from '../pool/mod.js';

/** Lists the pools that have services, with their demand in the fleet state. */
export class KnownPoolsProjector extends FleetProjector {
  readonly #emit: (pools: KnownPool[]) => void;

  constructor(emit: (pools: KnownPool[]) => void) {
    super();
    this.#emit = emit;
  }

  override project({ data }: Fleet): void {
    const slots = new Map<string, Map<string, number>>();
    data.configuration.service.forEach(({ object }, service) => {
      const services = slots.get(object.pool) ?? new Map<string, number>();
      services.set(service, object.slotsPerHost);
      slots.set(object.pool, services);
    });
    const pools: KnownPool[] = [];
    slots.forEach((slotsPerHost, pool) => {
      const configuration = data.configuration.pool.get(pool)?.object;
      if (configuration === undefined) return;
      const { need, headroom } = configuration;
      pools.push({ pool, need, headroom, extra: data.demands.get(pool) ?? 0, slotsPerHost });
    });
    this.#emit(pools);
  }
}
