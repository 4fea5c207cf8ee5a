import { randomUUID } from 'node:crypto';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import {
  collectSlices,
  Fleet,
  parseSnapshot,
  type FleetReplica,
  type FleetTail,
  type SerializedFleet,
} from '../fleet/mod.js';
import {
  CHECKPOINT_STREAM,
  CheckpointCollector,
  encodeCheckpoint,
  OffsetExpiredError,
  type CheckpointInfo,
  type LogClient,
} from '../log/mod.js';

/**
 * Age of the newest checkpoint, as a share of the retention, at which rank 0 writes the next one.
 * Each higher rank waits longer, but every rank writes before half of the retention has passed.
 */
const BASE_AGE_SHARE = 0.25;
const AGE_SHARE_PER_RANK = 0.04;
const MAX_AGE_SHARE = 0.45;
/** Number of checks of the checkpoint stream per retention, within the interval limits below. */
const CHECKS_PER_RETENTION = 200;
const MIN_CHECK_INTERVAL_MS = 100;
const MAX_CHECK_INTERVAL_MS = 10_000;
/** Four chunks of 60 KB stay below the append limit of 256 KiB. */
const CHUNKS_PER_APPEND = 4;
const MAX_ENTRIES_PER_READ = 100;
const ASK_TIMEOUT_MS = 10_000;

type CheckpointMessage = { type: 'tick' } | { type: 'rank'; rank: number };

/** Options of a `CheckpointKeeper`. */
export interface CheckpointKeeperOptions {
  replica: FleetReplica;
  client: LogClient;
  clock: Clock;
  /** How long the platform retains log records, in milliseconds. */
  retentionMs: number;
}

/** Returns whether a checkpoint plus the records after it yields the state of the replica. */
async function isCheckpointValid(text: string, tail: FleetTail): Promise<boolean> {
  try {
    const fleet = Fleet.restore(await parseSnapshot(JSON.parse(text)), { isOwned: true });
    await yieldToEventLoop();
    tail.records.forEach((record) => fleet.apply(record));
    fleet.raiseNextOffset(tail.nextOffset);
    // Equal states serialize to equal slices, so neither full text has to be kept in memory.
    const restoredSlices = fleet.snapshotSlices();
    for (const slice of tail.slices) {
      if (restoredSlices.next().value !== slice) return false;
      await yieldToEventLoop();
    }
    return restoredSlices.next().done === true;
  } catch {
    return false;
  }
}

/**
 * Writes checkpoints before half of the retention has passed, and verifies the checkpoints of all
 * controllers against the state of the local replica.
 */
export class CheckpointKeeper extends Actor<CheckpointMessage> {
  readonly #options: CheckpointKeeperOptions;

  readonly #collector = new CheckpointCollector();

  readonly #timer: NodeJS.Timeout;

  readonly #startedAt: number;

  #nextOffset = 0;

  #rank = Number.POSITIVE_INFINITY;

  #lastWrittenAt = Number.NEGATIVE_INFINITY;

  /** Newest checkpoint that has not failed verification. */
  #newest: CheckpointInfo | undefined;

  /** Complete checkpoints that have not been verified yet. */
  #unverified: CheckpointInfo[] = [];

  constructor(scope: ActorScope, options: CheckpointKeeperOptions) {
    super(scope, 'checkpoint-keeper');
    this.#options = options;
    this.#startedAt = options.clock.readWall();
    const intervalMs = Math.max(
      MIN_CHECK_INTERVAL_MS,
      Math.min(MAX_CHECK_INTERVAL_MS, options.retentionMs / CHECKS_PER_RETENTION),
    );
    this.#timer = setInterval(() => this.send({ type: 'tick' }), intervalMs);
  }

  protected override async receive(message: CheckpointMessage): Promise<void> {
    if (message.type === 'rank') {
      this.#rank = message.rank;
      return;
    }
    try {
      await this.#readStream();
    } catch {
      return; // The platform does not respond; `FleetFollower` reports this.
    }
    const pending = this.#unverified;
    this.#unverified = [];
    for (const info of pending) await this.#verify(info);
    if (this.#unverified.length === 0 && this.#isDue()) await this.#write();
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }

  async #readStream(): Promise<void> {
    for (;;) {
      const { entries, head } = await this.#readEntries();
      entries.forEach((entry) => {
        const info = this.#collector.add(entry);
        if (info) this.#unverified.push(info);
      });
      this.#nextOffset = (entries.at(-1)?.offset ?? head - 1) + 1;
      if (this.#nextOffset >= head) return;
    }
  }

  async #readEntries() {
    const { client } = this.#options;
    try {
      return await client.read(CHECKPOINT_STREAM, this.#nextOffset, {
        max: MAX_ENTRIES_PER_READ,
        waitMs: 0,
      });
    } catch (error) {
      if (!(error instanceof OffsetExpiredError)) throw error;
      this.#nextOffset = error.earliest;
      return client.read(CHECKPOINT_STREAM, this.#nextOffset, {
        max: MAX_ENTRIES_PER_READ,
        waitMs: 0,
      });
    }
  }

  /**
   * Applies the records after the checkpoint to it and compares the result with the local replica.
   * A checkpoint that is ahead of the replica is kept for the next check.
   */
  async #verify(info: CheckpointInfo): Promise<void> {
    const { replica } = this.#options;
    const text = await this.#collector.decode(info);
    const event = { offset: info.offset, detail: info.checkpoint };
    if (text === undefined) {
      this.scope.recordEvent({ type: 'checkpoint.damaged', ...event });
      return;
    }
    const { nextOffset } = await replica.ask<{ nextOffset: number }>((reply) => ({
      type: 'position',
      reply,
    }));
    if (nextOffset < info.offset) {
      this.#unverified.push(info);
      return;
    }
    const tail = await replica.ask<FleetTail | undefined>(
      (reply) => ({ type: 'tail', offset: info.offset, reply }),
      ASK_TIMEOUT_MS,
    );
    if (tail && !(await isCheckpointValid(text, tail))) {
      this.scope.recordEvent({ type: 'checkpoint.refused', ...event });
      this.scope.reportError(
        this.name,
        new Error(`state restored from the checkpoint at offset ${info.offset} differs`),
      );
      return;
    }
    this.scope.recordEvent({ type: tail ? 'checkpoint.verified' : 'checkpoint.read', ...event });
    if (info.time >= (this.#newest?.time ?? 0)) this.#newest = info;
  }

  #isDue(): boolean {
    if (!Number.isFinite(this.#rank)) return false;
    const now = this.#options.clock.readWall();
    // Limits the write rate: if its own checkpoint fails verification, every check would be due.
    if (now - this.#lastWrittenAt < AGE_SHARE_PER_RANK * this.#options.retentionMs) return false;
    const rankShare = this.#rank * AGE_SHARE_PER_RANK;
    const share = Math.min(MAX_AGE_SHARE, this.#newest ? BASE_AGE_SHARE + rankShare : rankShare);
    return now - (this.#newest?.time ?? this.#startedAt) >= share * this.#options.retentionMs;
  }

  async #write(): Promise<void> {
    const { replica, client } = this.#options;
    const { slices, offset } = await replica.ask<SerializedFleet>(
      (reply) => ({ type: 'text', reply }),
      ASK_TIMEOUT_MS,
    );
    if (offset === 0) return;
    this.#lastWrittenAt = this.#options.clock.readWall();
    const checkpoint = randomUUID();
    const values = await encodeCheckpoint(await collectSlices(slices), { checkpoint, offset });
    try {
      for (let start = 0; start < values.length; start += CHUNKS_PER_APPEND) {
        await client.append(CHECKPOINT_STREAM, values.slice(start, start + CHUNKS_PER_APPEND));
      }
    } catch (error) {
      // All readers skip an incomplete checkpoint, and a later check writes a new one.
      const detail = (error as Error).message;
      this.scope.recordEvent({ type: 'checkpoint.failed', offset, detail });
      return;
    }
    this.scope.recordEvent({ type: 'checkpoint.written', offset, detail: checkpoint });
  }
}
