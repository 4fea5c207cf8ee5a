import {
  FleetProjector,
  planFleet,
  type Fleet,
  type Plan,
  type PlanOptions,
} from '../fleet/mod.js';

/** The remaining steps of a plan, and the offset of the fleet state that it is based on. */
export interface StartedPlan {
  steps: Generator<undefined, Plan>;
  nextOffset: number;
}

/**
 * Starts a plan while `FleetReplica` handles a message, unless the fleet state is still at
 * `skipAtOffset`.
 */
export class PlanProjector extends FleetProjector {
  readonly #options: PlanOptions & { skipAtOffset: number };

  readonly #reply: (plan: StartedPlan | undefined) => void;

  constructor(
    options: PlanOptions & { skipAtOffset: number },
    reply: (plan: StartedPlan | undefined) => void,
  ) {
    super();
    this.#options = options;
    this.#reply = reply;
  }

  override project(fleet: Fleet): void {
    const { nextOffset } = fleet;
    if (nextOffset === this.#options.skipAtOffset) this.#reply(undefined);
    else this.#reply({ steps: planFleet(fleet, this.#options), nextOffset });
  }
}
