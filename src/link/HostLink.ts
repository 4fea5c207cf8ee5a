import { Pool } from 'undici';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { JobExchange } from '../gateway/JobExchange.js';

/** How a run on an upstream host ended. */
export interface RunResult {
  host: string;
  /** False if no byte of the request can have reached the host. */
  sent: boolean;
  /** Whether the whole answer was passed on to the caller. */
  answered: boolean;
  error?: Error;
}

/** Messages of a link. */
export interface HostLinkMessage {
  type: 'run';
  exchange: JobExchange;
  timeoutMs: number;
  reply: (result: RunResult) => void;
}

/** Options of a link. */
export interface HostLinkOptions {
  address: string;
  connections: number;
}

/** Owns the connections to one upstream host. */
export class HostLink extends Actor<HostLinkMessage> {
  readonly #host: string;

  readonly #pool: Pool;

  constructor(scope: ActorScope, host: string, options: HostLinkOptions) {
    super(scope, `host-link ${host}`);
    this.#host = host;
    this.#pool = new Pool(`http://${options.address}`, {
      connections: options.connections,
      pipelining: 1,
    });
  }

  get host(): string {
    return this.#host;
  }

  protected override receive(message: HostLinkMessage): void {
    // Runs side by side with later messages; the pool bounds the connections.
    this.#run(message).then(message.reply, (error: Error) => {
      message.reply({ host: this.#host, sent: true, answered: false, error });
    });
  }

  override async close(): Promise<void> {
    super.close();
    await this.#pool.close();
  }

  async #run({ exchange, timeoutMs }: HostLinkMessage): Promise<RunResult> {
    const abort = new AbortController();
    exchange.addCloseListener(() => abort.abort());
    const answer = await this.#pool.request({
      method: exchange.method,
      path: exchange.path,
      headers: { ...exchange.headers, 'x-request-id': exchange.job.id },
      body: exchange.body.length > 0 ? exchange.body : null,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: abort.signal,
    });
    await exchange.sendAnswer(
      { status: answer.statusCode, headers: answer.headers as Record<string, string> },
      answer.body,
    );
    return { host: this.#host, sent: true, answered: true };
  }
}
