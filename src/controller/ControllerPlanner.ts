import { Actor, type ActorScope } from '../actor/mod.js';
import type { FleetKeeper } from '../fleet/mod.js';
import type { LogWriter } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import { ProposalDelay } from './ProposalDelay.js';
import { PlanProjector } from './_PlanProjector.js';

const PLAN_INTERVAL_MS = 500;

type PlannerMessage =
  { type: 'tick' } | { type: 'rank'; rank: number } | { type: 'proposals'; bodies: RecordBody[] };

/** Proposes records at an interval. */
export class ControllerPlanner extends Actor<PlannerMessage> {
  readonly #keeper: FleetKeeper;

  readonly #writer: LogWriter;

  readonly #timer: NodeJS.Timeout;

  readonly #delay = new ProposalDelay();

  #rank = Number.POSITIVE_INFINITY;

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
    if (message.type === 'rank') {
      this.#rank = message.rank;
      return;
    }
    const now = performance.now();
    const bodies = this.#delay.choose(message.bodies, { rank: this.#rank, now });
    this.#writer.send({ type: 'propose', proposer: this.name, bodies });
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }
}
