import { FleetProjector, type Fleet } from '../src/fleet/mod.js';

/** Records when a fleet applied each offset, in wall-clock milliseconds. */
export class ApplyTimes extends FleetProjector {
  readonly at: [number, number][] = [];

  override project(fleet: Fleet): void {
    this.at.push([fleet.nextOffset, Date.now()]);
  }

  /** Finds when an offset was applied; infinite if it was not. */
  find(offset: number): number {
    return this.at.find(([nextOffset]) => nextOffset > offset)?.[1] ?? Number.POSITIVE_INFINITY;
  }
}
