import { RecordsResponse } from '../fleet/mod.js';
import {
  OffsetExpiredError,
  RecordSource,
  SourceFaultError,
  type RecordBatch,
} from '../log/mod.js';
import { createControllerClient, type ControllerClient } from './ControllerClient.js';

/** Time added to the wait of a long poll, after which the answer is considered lost. */
const LONG_POLL_MARGIN_MS = 2_000;

/**
 * Reads records from a controller. Used by gateways, and by controllers that cannot reach the
 * platform.
 */
export class ControllerRecordSource extends RecordSource {
  override readonly name: string;

  readonly #client: ControllerClient;

  constructor(address: string) {
    super();
    this.name = `controller ${address}`;
    this.#client = createControllerClient(address);
  }

  override async read(from: number, waitMs: number, signal: AbortSignal): Promise<RecordBatch> {
    const timeout = AbortSignal.timeout(waitMs + LONG_POLL_MARGIN_MS);
    const answer: unknown = await this.#client.since.query(
      { offset: from, waitMs },
      { signal: AbortSignal.any([signal, timeout]) },
    );
    const parsed = RecordsResponse.safeParse(answer);
    if (!parsed.success) throw new SourceFaultError(this.name, parsed.error.message);
    const { isReady, expired, ...batch } = parsed.data;
    if (!isReady) throw new Error(`${this.name} is not ready`);
    if (expired) throw new OffsetExpiredError(this.name, from, batch.nextOffset);
    return batch;
  }

  override fetchSnapshot(signal: AbortSignal): Promise<unknown> {
    return this.#client.snapshot.query(undefined, { signal });
  }

  override async close(): Promise<void> {
    // The client holds no connections.
  }
}
