import { decodeRecord } from '../record/mod.js';
import type { LogClient } from './LogClient.js';
import { RecordSource, type RecordBatch } from './RecordSource.js';

const MAX_ENTRIES = 500;

/** The stream that holds every record of the fleet. */
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
    const options = { max: MAX_ENTRIES, waitMs, signal };
    const { entries } = await this.#client.read(FLEET_STREAM, from, options);
    const records = entries.map(decodeRecord).filter((record) => record !== undefined);
    return { records, nextOffset: (entries.at(-1)?.offset ?? from - 1) + 1 };
  }

  override async fetchSnapshot(): Promise<unknown> {
    return undefined;
  }

  override close(): Promise<void> {
    return this.#client.close();
  }
}
