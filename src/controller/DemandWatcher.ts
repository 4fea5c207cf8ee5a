import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { FleetReplica } from '../fleet/mod.js';
import type { LogWriter } from '../log/mod.js';
import { DemandEstimator, type KnownPool, type ServiceLoad } from '../pool/mod.js';
import { KnownPoolsProjector } from './_KnownPoolsProjector.js';
import { ProposalDelay } from './ProposalDelay.js';

const SAMPLE_INTERVAL_MS = 5_000;

type DemandMessage =
  | { type: 'tick' }
  | { type: 'load'; reporter: string; loads: ServiceLoad[] }
  | { type: 'known'; pools: KnownPool[] }
  | { type: 'rank'; rank: number };

/** Options of a `DemandWatcher`. */
export interface DemandWatcherOptions {
  replica: FleetReplica;
  writer: LogWriter;
  clock: Clock;
}

/** Collects the load reported by gateways and proposes changes to the sustained demand of pools. */
export class DemandWatcher extends Actor<DemandMessage> {
  readonly #options: DemandWatcherOptions;

  readonly #demandEstimator = new DemandEstimator();

  readonly #delay = new ProposalDelay();

  readonly #timer: NodeJS.Timeout;

  #rank = Number.POSITIVE_INFINITY;

  constructor(scope: ActorScope, options: DemandWatcherOptions) {
    super(scope, 'demand-watcher');
    this.#options = options;
    this.#timer = setInterval(() => this.send({ type: 'tick' }), SAMPLE_INTERVAL_MS);
  }

  protected override receive(message: DemandMessage): void {
    const { replica, clock } = this.#options;
    const now = clock.readMonotonic();
    switch (message.type) {
      case 'tick': {
        const emit = (pools: KnownPool[]): void => this.send({ type: 'known', pools });
        replica.send({ type: 'project', projector: new KnownPoolsProjector(emit) });
        break;
      }
      case 'load':
        this.#demandEstimator.report(message.reporter, { loads: message.loads, now });
        break;
      case 'known':
        this.#propose(message.pools, now);
        break;
      default:
        this.#rank = message.rank;
    }
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }

  #propose(pools: KnownPool[], now: number): void {
    const demands = this.#demandEstimator.apply(pools, now);
    const bodies = demands.length === 0 ? [] : [{ type: 'pool-demand' as const, demands }];
    const dueBodies = this.#delay.choose(bodies, { rank: this.#rank, now });
    if (dueBodies.length > 0) {
      const detail = demands.map(({ pool, extra }) => `${pool} +${extra}`).join(', ');
      this.scope.recordEvent({ type: 'pool.demand', pool: demands[0]?.pool, detail });
    }
    this.#options.writer.send({ type: 'propose', proposer: this.name, bodies: dueBodies });
  }
}
