import { decodeRecord, type LogEntry } from '../record/mod.js';
import { CheckpointCollector } from './CheckpointCollector.js';
import { CHECKPOINT_STREAM } from './Checkpoint.js';
import type { LogClient, ReadResult } from './LogClient.js';
import { OffsetExpiredError } from './OffsetExpiredError.js';
import { RecordSource, type RecordBatch } from './RecordSource.js';
import { SourceFaultError } from './SourceFaultError.js';

const MAX_ENTRIES_PER_READ = 500;

/** The log stream that holds the records of the fleet. */
export const FLEET_STREAM = 'fleet';

/** Reads records from the platform's log. */
export class LogRecordSource extends RecordSource {
  override readonly name = 'platform';

  readonly #client: LogClient;

  constructor(client: LogClient) {
    super();
    this.#client = client;
  }

  override async read(from: number, waitMs: number, signal: AbortSignal): Promise<RecordBatch> {
    const options = { max: MAX_ENTRIES_PER_READ, waitMs, signal };
    const { entries, head } = await this.#client.read(FLEET_STREAM, from, options);
    this.#verifyEntries(entries, head, from);
    const records = entries.map(decodeRecord).filter((record) => record !== undefined);
    const nextOffset = from + entries.length;
    return {
      fromOffset: from,
      records,
      nextOffset,
      broken: entries.length - records.length,
      isComplete: nextOffset >= head,
      contactAgeMs: 0,
    };
  }

  /** Fetches the newest complete checkpoint whose hash matches. */
  override async fetchSnapshot(signal: AbortSignal): Promise<unknown> {
    const collector = new CheckpointCollector();
    let from = 0;
    for (;;) {
      const { entries, head } = await this.#readCheckpoints(from, signal);
      entries.forEach((entry) => collector.add(entry));
      from = (entries.at(-1)?.offset ?? head - 1) + 1;
      if (from >= head) return collector.restore();
    }
  }

  override close(): Promise<void> {
    return this.#client.close();
  }

  async #readCheckpoints(from: number, signal: AbortSignal): Promise<ReadResult> {
    const options = { max: MAX_ENTRIES_PER_READ, waitMs: 0, signal };
    try {
      return await this.#client.read(CHECKPOINT_STREAM, from, options);
    } catch (error) {
      if (!(error instanceof OffsetExpiredError) || error.earliest <= from) throw error;
      return this.#readCheckpoints(error.earliest, signal);
    }
  }

  /** Rejects a range with gaps, since applying it would make the state of processes diverge. */
  #verifyEntries(entries: LogEntry[], head: number, from: number): void {
    if (head < from)
      throw new SourceFaultError(this.name, `head ${head} is below the requested offset ${from}`);
    if (entries.some(({ offset }, index) => offset !== from + index)) {
      throw new SourceFaultError(this.name, `entries from offset ${from} are not contiguous`);
    }
  }
}
