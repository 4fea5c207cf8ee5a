import { PoolGuarantee, type GuaranteeInput } from './PoolGuarantee.js';

/** Every host is maintained once per maintenance period. */
export class MaintenanceGuarantee extends PoolGuarantee {
  override readonly name = 'maintenance';

  protected override computeMargin({ lateHosts }: GuaranteeInput): number {
    return lateHosts === 0 ? 0 : -lateHosts;
  }

  protected override explain({ pool, lateHosts }: GuaranteeInput): string {
    return `${lateHosts} hosts were not maintained within ${pool.maintenance.periodDays} days`;
  }
}
