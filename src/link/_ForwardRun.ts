import { Outcome } from '../job/mod.js';
import type { ResponseHead, Exchange } from './Exchange.js';
import {
  ExchangeRun,
  type ExchangeRunEnd,
  type ExchangeRunOptions,
  type HeadDecision,
} from './_ExchangeRun.js';
import type { ForwardResult } from './JobForwarder.js';

const OUTCOME_HEADER = 'buckthornreach-outcome';

/** Options of a forwarded request. */
export interface ForwardRunOptions extends ExchangeRunOptions {
  reply: (result: ForwardResult) => void;
}

/** A request forwarded to another gateway, which reports the outcome in a response header. */
export class ForwardRun extends ExchangeRun {
  readonly #reply: ForwardRunOptions['reply'];

  #outcome: Outcome = 'unknown';

  constructor(exchange: Exchange, options: ForwardRunOptions) {
    super(exchange, options);
    this.#reply = options.reply;
  }

  protected override handleHead({ headers }: ResponseHead): HeadDecision {
    const outcome = Outcome.safeParse(headers[OUTCOME_HEADER]);
    if (outcome.success) this.#outcome = outcome.data;
    return { outcome: this.#outcome };
  }

  protected override handleEnd({ end, sent, message }: ExchangeRunEnd): void {
    const answered = end === 'answered';
    const failed = sent ? 'unknown' : 'not-run';
    this.#reply({ answered, sent, outcome: answered ? this.#outcome : failed, detail: message });
  }
}
