import { Pool } from 'undici';
import type { Clock } from '../clock/mod.js';
import type { JobExchange } from '../gateway/JobExchange.js';
import { Outcome } from '../job/mod.js';
import { encodeForwardedJob } from './encodeForwardedJob.js';
import { FORWARDED_JOB_HEADER } from './ForwardedJob.js';
import type { RunResult } from './HostLink.js';
import { JobForwarder } from './JobForwarder.js';

const OUTCOME_HEADER = 'buckthornreach-outcome';
/** Time beyond the job's deadline that the peer has to report it as missed. */
const ANSWER_MARGIN_MS = 1_000;
const MAX_CONNECTIONS = 256;
const CONNECT_TIMEOUT_MS = 1_000;
/** Failures to connect: no byte of the request has left. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Forwards jobs over HTTP to the peer ports of other gateways. */
export class PeerForwarder extends JobForwarder {
  readonly #clock: Clock;

  readonly #pools = new Map<string, Pool>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override async forward(exchange: JobExchange, peerAddress: string): Promise<RunResult> {
    try {
      await this.#send(exchange, peerAddress);
      return { host: peerAddress, sent: true, answered: true };
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      const sent = code === undefined || !UNSENT_CODES.has(code);
      return { host: peerAddress, sent, answered: false, error: error as Error };
    }
  }

  override async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }

  async #send(exchange: JobExchange, peerAddress: string): Promise<void> {
    const now = this.#clock.readMonotonic();
    const timeoutMs = Math.max(0, exchange.job.deadline - now) + ANSWER_MARGIN_MS;
    const abort = new AbortController();
    exchange.addCloseListener(() => abort.abort());
    const answer = await this.#getPool(peerAddress).request({
      method: exchange.method,
      path: exchange.path,
      headers: {
        ...exchange.headers,
        [FORWARDED_JOB_HEADER]: encodeForwardedJob(exchange.job, now),
      },
      body: exchange.body.length > 0 ? exchange.body : null,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: abort.signal,
    });
    const headers = answer.headers as Record<string, string>;
    const outcome = Outcome.safeParse(headers[OUTCOME_HEADER]);
    await exchange.sendAnswer(
      {
        status: answer.statusCode,
        headers,
        outcome: outcome.success ? outcome.data : 'unknown',
      },
      answer.body,
    );
  }

  #getPool(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: MAX_CONNECTIONS,
        pipelining: 1,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}
