import { FleetProjector, type Fleet } from '../fleet/mod.js';
import type { LogWriter } from '../log/mod.js';

/** Reports to a writer which of its records were applied, so that it can resolve lost answers. */
export class SequenceProjector extends FleetProjector {
  readonly #writer: LogWriter;

  constructor(writer: LogWriter) {
    super();
    this.#writer = writer;
  }

  override project(fleet: Fleet): void {
    const sequence = fleet.data.findSequence(this.#writer.writer);
    this.#writer.send({ type: 'folded', sequence, nextOffset: fleet.nextOffset });
  }
}
