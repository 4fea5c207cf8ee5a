import { FleetProjector, planFleet, type Fleet } from '../fleet/mod.js';
import type { RecordBody } from '../record/mod.js';

/** Plans in the keeper's turn and passes the proposals on. */
export class PlanProjector extends FleetProjector {
  readonly #propose: (bodies: RecordBody[]) => void;

  constructor(propose: (bodies: RecordBody[]) => void) {
    super();
    this.#propose = propose;
  }

  override project(fleet: Fleet): void {
    this.#propose(planFleet(fleet));
  }
}
