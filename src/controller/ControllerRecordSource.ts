import { OffsetExpiredError, RecordSource, type RecordBatch } from '../log/mod.js';
import { createControllerClient, type ControllerClient } from './ControllerClient.js';

/** Reads records from a controller, for gateways and for controllers cut off from the platform. */
export class ControllerRecordSource extends RecordSource {
  override readonly name: string;

  readonly #client: ControllerClient;

  constructor(address: string) {
    super();
    this.name = `controller ${address}`;
    this.#client = createControllerClient(address);
  }

  override async read(from: number, waitMs: number, signal: AbortSignal): Promise<RecordBatch> {
    const answer = await this.#client.since.query({ offset: from, waitMs }, { signal });
    if (answer.expired) throw new OffsetExpiredError(this.name, from, answer.nextOffset);
    return answer;
  }

  override fetchSnapshot(signal: AbortSignal): Promise<unknown> {
    return this.#client.snapshot.query(undefined, { signal });
  }

  override async close(): Promise<void> {
    // The client keeps no connection of its own.
  }
}
