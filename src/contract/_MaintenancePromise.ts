import { PoolPromise, type PoolFacts } from './PoolPromise.js';

/** Each host is maintained once per period. */
export class MaintenancePromise extends PoolPromise {
  override readonly name = 'maintenance';

  protected override computeMargin({ lateHosts }: PoolFacts): number {
    return lateHosts === 0 ? 0 : -lateHosts;
  }

  protected override explain({ pool, lateHosts }: PoolFacts): string {
    return `${lateHosts} hosts were not maintained within ${pool.maintenance.periodDays} days`;
  }
}
