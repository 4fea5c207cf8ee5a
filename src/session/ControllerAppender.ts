import { createControllerClient, type ControllerClient } from '../controller/mod.js';
import type { VerdictResponse } from '../fleet/mod.js';
import { OffsetExpiredError, type RecordBatch } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import { RecordAppender } from './RecordAppender.js';

const APPEND_TIMEOUT_MS = 5_000;
const READ_TIMEOUT_MS = 1_000;

/** Accesses the log through the first controller that answers. */
export class ControllerAppender extends RecordAppender {
  readonly #clients: ControllerClient[];

  constructor(addresses: string[]) {
    super();
    this.#clients = addresses.map(createControllerClient);
  }

  override append(body: RecordBody): Promise<VerdictResponse> {
    return this.#tryEach((client) =>
      client.append.mutate({ body }, { signal: AbortSignal.timeout(APPEND_TIMEOUT_MS) }),
    );
  }

  override readRecords(offset: number): Promise<RecordBatch> {
    return this.#tryEach(async (client) => {
      const signal = AbortSignal.timeout(READ_TIMEOUT_MS);
      const answer = await client.since.query({ offset, waitMs: 0 }, { signal });
      // In this case the follower restarts from a snapshot, and the caller of this method retries.
      if (answer.expired) throw new OffsetExpiredError('controller', offset, answer.nextOffset);
      return answer;
    });
  }

  async #tryEach<T>(call: (client: ControllerClient) => Promise<T>): Promise<T> {
    let failure: unknown;
    for (const client of this.#clients) {
      try {
        return await call(client);
      } catch (error) {
        failure = error;
      }
    }
    throw failure;
  }
}
