import { Pool } from 'undici';
import { z } from 'zod';
import { LogEntry } from '../record/mod.js';
import { LogUnavailableError } from './LogUnavailableError.js';
import { OffsetExpiredError } from './OffsetExpiredError.js';
import { LogClient, type ReadOptions, type ReadResult } from './LogClient.js';

const STATUS_GONE = 410;
/** Time beyond the long-poll wait after which a response counts as lost. */
const RESPONSE_MARGIN_MS = 2_000;

const AppendResponse = z.object({ firstOffset: z.number().int() });
const ReadResponse = z.object({ entries: z.array(LogEntry), head: z.number().int() });
const ExpiredResponse = z.object({ earliest: z.number().int() });

interface LogRequest {
  method: 'GET' | 'POST';
  path: string;
  body?: string;
  timeoutMs: number;
  signal?: AbortSignal;
}

/**
 * Accesses the platform's log over HTTP with `POST /streams/NAME/entries` and
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
      timeoutMs: RESPONSE_MARGIN_MS,
    });
    return AppendResponse.parse(answer.body).firstOffset;
  }

  override async read(stream: string, from: number, options: ReadOptions): Promise<ReadResult> {
    const query = `from=${from}&max=${options.max}&waitMs=${options.waitMs}`;
    const answer = await this.#send({
      method: 'GET',
      path: `/streams/${stream}/entries?${query}`,
      timeoutMs: options.waitMs + RESPONSE_MARGIN_MS,
      signal: options.signal,
    });
    if (answer.status === STATUS_GONE) {
      throw new OffsetExpiredError(stream, from, ExpiredResponse.parse(answer.body).earliest);
    }
    return ReadResponse.parse(answer.body);
  }

  override async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(request: LogRequest): Promise<{ status: number; body: unknown }> {
    const timeout = AbortSignal.timeout(request.timeoutMs);
    const signal = request.signal ? AbortSignal.any([timeout, request.signal]) : timeout;
    try {
      const { statusCode, body } = await this.#pool.request({
        method: request.method,
        path: request.path,
        body: request.body,
        signal,
        headers: request.body === undefined ? {} : { 'content-type': 'application/json' },
      });
      const text = await body.text();
      if (statusCode >= 300 && statusCode !== STATUS_GONE) {
        throw new Error(`status ${statusCode}: ${text.slice(0, 200)}`);
      }
      return { status: statusCode, body: JSON.parse(text) };
    } catch (error) {
      throw new LogUnavailableError(error as Error, `${request.method} ${request.path} failed`);
    }
  }
}
