import { Actor, type ActorScope } from '../actor/mod.js';
import { SystemClock, type Clock } from '../clock/mod.js';
import {
  OffsetExpiredError,
  SourceFaultError,
  verifyBatch,
  type RecordBatch,
  type RecordSource,
} from '../log/mod.js';
import type { FleetReplica } from './FleetReplica.js';
import type { FleetSnapshot } from './FleetSnapshot.js';
import { parseSnapshot } from './parseSnapshot.js';
import { SourceSelector } from './_SourceSelector.js';

/**
 * Duration of a long poll: shorter than the answer timeout of a source, so that an idle source
 * stays healthy, and shorter than half the age at which its platform contact is stale.
 */
const LONG_POLL_MS = 3_000;
/** A poll that neither succeeds nor fails within this time is aborted. */
const POLL_TIMEOUT_MS = 30_000;
const TICK_MS = 250;
/** The state counts as stale after this time without contact with the platform. */
const STALE_AFTER_MS = 15_000;

/** Readiness of a process and the health of its record sources. */
export interface FollowerStatus {
  /** `not-ready`: no state yet; `stale`: has a state, but no recent contact with the platform. */
  readiness: 'not-ready' | 'ready' | 'stale';
  /** Why the process is not ready; empty when it is. */
  reason: string;
  /** Time since the last direct or relayed contact with the platform; absent if there was none. */
  contactAgeMs?: number;
  sources: { source: string; reachable: boolean; fault: string }[];
}

type FollowerMessage =
  | { type: 'tick' }
  | { type: 'answer'; index: number; batch: RecordBatch }
  | { type: 'snapshot'; index: number; snapshot: FleetSnapshot }
  | { type: 'failure'; index: number; error: Error }
  | { type: 'status'; reply: (status: FollowerStatus) => void };

/** Options of a `FleetFollower`. */
export interface FleetFollowerOptions {
  clock?: Clock;
  random?: () => number;
  /** Interval at which the sources to poll are re-evaluated, in milliseconds. */
  tickMs?: number;
}

async function fetchSnapshot(
  source: RecordSource,
  signal: AbortSignal,
): Promise<FleetSnapshot | undefined> {
  const value = await source.fetchSnapshot(signal);
  if (value === undefined) return undefined;
  try {
    const snapshot = await parseSnapshot(value);
    return snapshot.nextOffset > 0 ? snapshot : undefined;
  } catch (error) {
    throw new SourceFaultError(source.name, `invalid snapshot: ${(error as Error).message}`);
  }
}

/**
 * Polls record sources in order of preference and passes the records to the fleet replica.
 *
 * Several sources may be polled concurrently. Each batch begins at or below the offset reached so
 * far, so the replica never misses a record and never moves back, whatever the order of the
 * answers.
 */
export class FleetFollower extends Actor<FollowerMessage> {
  readonly #sources: RecordSource[];

  readonly #replica: FleetReplica;

  readonly #clock: Clock;

  readonly #selector: SourceSelector;

  readonly #abort = new AbortController();

  readonly #faults: string[];

  readonly #tickMs: number;

  #offset = 0;

  #isReady = false;

  #timer: NodeJS.Timeout | undefined;

  constructor(
    scope: ActorScope,
    replica: FleetReplica,
    sources: RecordSource[],
    options: FleetFollowerOptions = {},
  ) {
    super(scope, 'fleet-follower');
    this.#replica = replica;
    this.#sources = sources;
    this.#clock = options.clock ?? new SystemClock();
    this.#tickMs = options.tickMs ?? TICK_MS;
    this.#selector = new SourceSelector(sources.length, options.random ?? Math.random);
    this.#faults = sources.map(() => 'not polled yet');
  }

  /** Starts polling the sources. */
  start(): void {
    this.send({ type: 'tick' });
    this.#timer = setInterval(() => this.send({ type: 'tick' }), this.#tickMs);
  }

  protected override receive(message: FollowerMessage): void {
    const now = this.#clock.readMonotonic();
    switch (message.type) {
      case 'answer':
        this.#handleBatch(message.index, message.batch, now);
        break;
      case 'snapshot':
        this.#selector.recordAnswer(message.index, now, Number.POSITIVE_INFINITY);
        this.#offset = Math.max(this.#offset, message.snapshot.nextOffset);
        this.#replica.send({ type: 'restore', snapshot: message.snapshot });
        break;
      case 'failure':
        this.#handleFailure(message.index, message.error, now);
        break;
      case 'status':
        message.reply(this.#buildStatus(now));
        return;
      default:
    }
    this.#selector.choose(now).forEach((index) => this.#readSource(index));
  }

  override async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#abort.abort();
    super.close();
    await Promise.all(this.#sources.map((source) => source.close()));
  }

  #handleBatch(index: number, batch: RecordBatch, now: number): void {
    this.#selector.recordAnswer(index, now, batch.contactAgeMs);
    if (this.#faults[index] !== '') {
      this.scope.recordEvent({ type: 'source.regained', detail: this.#sources[index]?.name });
    }
    this.#faults[index] = '';
    if (batch.nextOffset > this.#offset) {
      this.#offset = batch.nextOffset;
      this.#replica.send({ type: 'records', batch });
    }
    this.#isReady ||= batch.isComplete;
    const { contactAt } = this.#selector;
    this.#replica.send({ type: 'contact', isReady: this.#isReady, contactAt });
  }

  #handleFailure(index: number, error: Error, now: number): void {
    if (error instanceof SourceFaultError) this.#selector.suspend(index, now);
    else this.#selector.recordFailure(index, now);
    const before = this.#faults[index];
    this.#faults[index] = error.message;
    if (before !== '' && before !== 'not polled yet') return;
    const detail = `${this.#sources[index]?.name}: ${error.message}`;
    this.scope.recordEvent({ type: 'source.lost', detail });
  }

  #buildStatus(now: number): FollowerStatus {
    const age = now - this.#selector.contactAt;
    const sources = this.#sources.map((source, index) => ({
      source: source.name,
      reachable: this.#faults[index] === '',
      fault: this.#faults[index] ?? '',
    }));
    const contactAgeMs = Number.isFinite(age) ? age : undefined;
    if (!this.#isReady) {
      const faults = sources.map(({ source, fault }) => `${source}: ${fault}`);
      const reason = `no state received from the log or a peer: ${faults.join('; ')}`;
      return { readiness: 'not-ready', reason, contactAgeMs, sources };
    }
    const isStale = age > STALE_AFTER_MS;
    const reason = isStale ? `no contact with the platform for ${Math.round(age)} ms` : '';
    return { readiness: isStale ? 'stale' : 'ready', reason, contactAgeMs, sources };
  }

  #readSource(index: number): void {
    const source = this.#sources[index];
    if (source === undefined) return;
    const timeout = AbortSignal.timeout(POLL_TIMEOUT_MS);
    const signal = AbortSignal.any([this.#abort.signal, timeout]);
    this.#fetchUpdate(source, signal).then(
      (answer) => this.send({ ...answer, index }),
      (error: Error) => this.send({ type: 'failure', index, error }),
    );
  }

  async #fetchUpdate(
    source: RecordSource,
    signal: AbortSignal,
  ): Promise<
    { type: 'answer'; batch: RecordBatch } | { type: 'snapshot'; snapshot: FleetSnapshot }
  > {
    const from = this.#offset;
    try {
      const snapshot = from === 0 ? await fetchSnapshot(source, signal) : undefined;
      if (snapshot !== undefined) return { type: 'snapshot', snapshot };
      const batch = await source.read(from, this.#isReady ? LONG_POLL_MS : 0, signal);
      verifyBatch(batch, { source: source.name, from });
      return { type: 'answer', batch };
    } catch (error) {
      if (!(error instanceof OffsetExpiredError)) throw error;
      const snapshot = await fetchSnapshot(source, signal);
      if (snapshot === undefined || snapshot.nextOffset <= from) throw error;
      return { type: 'snapshot', snapshot };
    }
  }
}
