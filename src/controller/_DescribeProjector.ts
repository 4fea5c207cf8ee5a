import { FleetProjector, type Fleet } from '../fleet/mod.js';

/** Describes something of the fleet in the keeper's turn. */
export class DescribeProjector<Description> extends FleetProjector {
  readonly #describe: (fleet: Fleet) => Description;

  readonly #reply: (description: Description) => void;

  constructor(describe: (fleet: Fleet) => Description, reply: (description: Description) => void) {
    super();
    this.#describe = describe;
    this.#reply = reply;
  }

  override project(fleet: Fleet): void {
    this.#reply(this.#describe(fleet));
  }
}
