import type { ResponseHead, Exchange } from './Exchange.js';
import {
  ExchangeRun,
  type ExchangeRunEnd,
  type ExchangeRunOptions,
  type HeadDecision,
} from './_ExchangeRun.js';
import type { RunResult } from './RunResult.js';

const LEAVING_STATUS = 503;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Options of a run on a host. */
export interface HostRunOptions extends ExchangeRunOptions {
  host: string;
  /** Whether a server error is withheld from the caller, because the job may be retried. */
  isRetryable: boolean;
  reply: (result: RunResult) => void;
}

/** A run on an upstream host, with the status and the `leaving` flag of its response. */
export class HostRun extends ExchangeRun {
  readonly #options: HostRunOptions;

  #status: number | undefined;

  #leaving = false;

  constructor(exchange: Exchange, options: HostRunOptions) {
    super(exchange, options);
    this.#options = options;
  }

  protected override handleHead({ status, headers }: ResponseHead): HeadDecision {
    this.#status = status;
    const connection = String(headers.connection ?? '').toLowerCase();
    this.#leaving = status === LEAVING_STATUS && connection.includes('close');
    if (this.#options.isRetryable && status >= FIRST_SERVER_ERROR_STATUS) return 'withheld';
    return { outcome: this.#leaving ? 'unknown' : 'ran' };
  }

  protected override handleEnd(end: ExchangeRunEnd): void {
    this.#options.reply({
      ...end,
      host: this.#options.host,
      begun: this.exchange.hasBegun,
      status: this.#status,
      leaving: this.#leaving,
    });
  }
}
