import { Actor, type ActorScope } from '../actor/mod.js';
import type { FleetKeeper } from '../fleet/mod.js';
import type { LogWriter } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import { PlanProjector } from './_PlanProjector.js';

const PLAN_INTERVAL_MS = 500;

type PlannerMessage = { type: 'tick' } | { type: 'proposals'; bodies: RecordBody[] };

/** Proposes records at an interval. */
export class ControllerPlanner extends Actor<PlannerMessage> {
  readonly #keeper: FleetKeeper;

  readonly #writer: LogWriter;

  readonly #timer: NodeJS.Timeout;

  constructor(scope: ActorScope, keeper: FleetKeeper, writer: LogWriter) {
    super(scope, 'controller-planner');
    this.#keeper = keeper;
    this.#writer = writer;
    this.#timer = setInterval(() => this.send({ type: 'tick' }), PLAN_INTERVAL_MS);
  }

  protected override receive(message: PlannerMessage): void {
    if (message.type === 'tick') {
      this.#keeper.send({
        type: 'project',
        projector: new PlanProjector((bodies) => this.send({ type: 'proposals', bodies })),
      });
      return;
    }
    message.bodies.forEach((body) => this.#writer.send({ type: 'append', body }));
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }
}
