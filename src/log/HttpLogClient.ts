import { Pool } from 'undici';
import { z } from 'zod';
import { LogEntry } from '../record/mod.js';
import { LogUnavailableError } from './LogUnavailableError.js';
import { OffsetExpiredError } from './OffsetExpiredError.js';
import { LogClient, type ReadOptions, type ReadResult } from './LogClient.js';

const HTTP_GONE = 410;
/** Margin over the wait of a long poll before the answer counts as lost. */
const ANSWER_MARGIN_MS = 2_000;

const AppendAnswer = z.object({ firstOffset: z.number().int() });
const ReadAnswer = z.object({ entries: z.array(LogEntry), head: z.number().int() });
const ExpiredAnswer = z.object({ earliest: z.number().int() });

interface Call {
  method: 'GET' | 'POST';
  path: string;
  body?: string;
  timeoutMs: number;
  signal?: AbortSignal;
}

/**
 * The platform's log over HTTP: `POST /streams/NAME/entries` and
 * `GET /streams/NAME/entries?from=N&max=N&waitMs=N`.
 */
export class HttpLogClient extends LogClient {
  readonly #pool: Pool;

  /** @param url Base URL of the platform, for example `http://127.0.0.1:7000`. */
  constructor(url: string) {
    super();
    this.#pool = new Pool(url, { connections: 4 });
  }

  override async append(stream: string, values: string[]): Promise<number> {
    const answer = await this.#send({
      method: 'POST',
      path: `/streams/${stream}/entries`,
      body: JSON.stringify({ values }),
      timeoutMs: ANSWER_MARGIN_MS,
    });
    return AppendAnswer.parse(answer.body).firstOffset;
  }

  override async read(stream: string, from: number, options: ReadOptions): Promise<ReadResult> {
    const query = `from=${from}&max=${options.max}&waitMs=${options.waitMs}`;
    const answer = await this.#send({
      method: 'GET',
      path: `/streams/${stream}/entries?${query}`,
      timeoutMs: options.waitMs + ANSWER_MARGIN_MS,
      signal: options.signal,
    });
    if (answer.status === HTTP_GONE) {
      throw new OffsetExpiredError(stream, from, ExpiredAnswer.parse(answer.body).earliest);
    }
    return ReadAnswer.parse(answer.body);
  }

  override async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(call: Call): Promise<{ status: number; body: unknown }> {
    const timeout = AbortSignal.timeout(call.timeoutMs);
    const signal = call.signal ? AbortSignal.any([timeout, call.signal]) : timeout;
    try {
      const { statusCode, body } = await this.#pool.request({
        method: call.method,
        path: call.path,
        body: call.body,
        signal,
        headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
      });
      const text = await body.text();
      if (statusCode >= 300 && statusCode !== HTTP_GONE) {
        throw new Error(`status ${statusCode}: ${text.slice(0, 200)}`);
      }
      return { status: statusCode, body: JSON.parse(text) };
    } catch (error) {
      throw new LogUnavailableError(error as Error, `${call.method} ${call.path} failed`);
    }
  }
}
