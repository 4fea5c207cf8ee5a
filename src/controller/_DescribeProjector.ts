import { describeFleet, FleetProjector, type Fleet, type FleetSummary } from '../fleet/mod.js';

/** Describes the fleet in the keeper's turn. */
export class DescribeProjector extends FleetProjector {
  readonly #reply: (summary: FleetSummary) => void;

  constructor(reply: (summary: FleetSummary) => void) {
    super();
    this.#reply = reply;
  }

  override project(fleet: Fleet): void {
    this.#reply(describeFleet(fleet));
  }
}
