import { Actor, type ActorScope } from '../actor/mod.js';
import { OffsetExpiredError, type RecordSource } from '../log/mod.js';
import type { FleetKeeper } from './FleetKeeper.js';
import { FleetSnapshot } from './FleetSnapshot.js';

const WAIT_MS = 5_000;
const RETRY_MS = 200;

/** How often each follower of a process reads, and how it fares. */
export interface FollowerStatus {
  source: string;
  reachable: boolean;
}

interface FollowerMessage {
  type: 'poll';
}

/**
 * Reads records from its sources and passes them to the keeper. It stays with a source while that
 * answers and goes on to the next when it fails.
 */
export class FleetFollower extends Actor<FollowerMessage> {
  readonly #sources: RecordSource[];

  readonly #keeper: FleetKeeper;

  readonly #abort = new AbortController();

  #current = 0;

  #offset = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(scope: ActorScope, keeper: FleetKeeper, sources: RecordSource[]) {
    super(scope, 'fleet-follower');
    this.#keeper = keeper;
    this.#sources = sources;
  }

  /** Starts to read. */
  start(): void {
    this.send({ type: 'poll' });
  }

  protected override async receive(): Promise<void> {
    const source = this.#sources[this.#current % this.#sources.length];
    if (source === undefined) return;
    try {
      await this.#readFrom(source);
      this.send({ type: 'poll' });
    } catch {
      this.#current += 1;
      if (this.isClosed) return;
      this.#timer = setTimeout(() => this.send({ type: 'poll' }), RETRY_MS);
    }
  }

  override async close(): Promise<void> {
    this.#abort.abort();
    clearTimeout(this.#timer);
    super.close();
    await Promise.all(this.#sources.map((source) => source.close()));
  }

  async #readFrom(source: RecordSource): Promise<void> {
    try {
      const batch = await source.read(this.#offset, WAIT_MS, this.#abort.signal);
      this.#offset = Math.max(this.#offset, batch.nextOffset);
      this.#keeper.send({ type: 'records', batch });
    } catch (error) {
      if (!(error instanceof OffsetExpiredError)) throw error;
      const snapshot = FleetSnapshot.parse(await source.fetchSnapshot(this.#abort.signal));
      this.#offset = Math.max(this.#offset, snapshot.nextOffset);
      this.#keeper.send({ type: 'restore', snapshot });
    }
  }
}
