import { errors, type Dispatcher } from 'undici';
import type { Outcome } from '../job/mod.js';
import type { ResponseHead, Exchange } from './Exchange.js';
import type { RunEnd } from './RunResult.js';
import type { HeaderMap } from './stripHeaders.js';

const FIRST_FINAL_STATUS = 200;

/** Options of a run. */
export interface ExchangeRunOptions {
  /** Monotonic time in milliseconds after which the request must not be written. */
  sendDeadline: number;
}

/** How a run ended. */
export interface ExchangeRunEnd {
  end: RunEnd;
  /** False only if no byte of the request can have left this process. */
  sent: boolean;
  runMs: number;
  message?: string;
}

/** What to do with a response: pass it on to the caller with an outcome, or withhold it. */
export type HeadDecision = { outcome: Outcome } | 'withheld';

/** Decodes headers as Latin-1, because a server's values need not be valid UTF-8. */
function decodeHeaders(raw: unknown): HeaderMap {
  const parts = raw as Buffer[];
  const headers: HeaderMap = {};
  for (let index = 0; index + 1 < parts.length; index += 2) {
    const name = (parts[index] as Buffer).toString('latin1').toLowerCase();
    const value = (parts[index + 1] as Buffer).toString('latin1');
    const previous = headers[name];
    headers[name] = previous === undefined ? value : [previous, value].flat();
  }
  return headers;
}

/** One run on one connection. Passes the response on and reports whether the request was sent. */
export abstract class ExchangeRun implements Dispatcher.DispatchHandler {
  protected readonly exchange: Exchange;

  readonly #sendDeadline: number;

  readonly #startedAt = performance.now();

  #controller: Dispatcher.DispatchController | undefined;

  #isWithheld = false;

  #isEnded = false;

  constructor(exchange: Exchange, { sendDeadline }: ExchangeRunOptions) {
    this.exchange = exchange;
    this.#sendDeadline = sendDeadline;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Decides whether to pass on a response, from its head. */
  protected abstract handleHead(head: ResponseHead): HeadDecision;

  /** Called once, when the run has ended. */
  protected abstract handleEnd(end: ExchangeRunEnd): void;

  /** Called by undici just before the first byte of the request is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (!this.#isEnded && performance.now() > this.#sendDeadline) {
      // The process was paused, so the claim or the share that allowed the request may be lost.
      this.fail('busy', 'the request was not written in time');
    }
    if (this.#controller !== undefined || this.#isEnded) {
      // undici may retry a request on another connection, but it must be written only once.
      controller.abort(new Error('the request has ended or was written before'));
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < FIRST_FINAL_STATUS || this.#isEnded) return;
    const head = { status, headers: decodeHeaders(controller.rawHeaders) };
    const decision = this.handleHead(head);
    this.#isWithheld = decision === 'withheld';
    if (decision !== 'withheld') this.exchange.sendHead(head, decision.outcome);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isWithheld || this.#isEnded) return;
    if (this.exchange.writeChunk(chunk)) return;
    controller.pause();
    this.exchange.addDrainListener(() => controller.resume());
  }

  onResponseEnd(): void {
    if (this.#isEnded) return;
    if (this.#isWithheld) {
      this.#finish('withheld');
      return;
    }
    this.exchange.finish();
    this.#finish('answered');
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#controller !== undefined) this.fail('failed', error.message);
    else
      this.fail(
        error instanceof errors.InvalidArgumentError ? 'invalid' : 'refused',
        error.message,
      );
  }

  /** Ends the run without a complete response. The connection must not be reused. */
  fail(end: RunEnd, message: string): void {
    if (this.#isEnded) return;
    if (this.exchange.hasBegun) this.exchange.cancel();
    this.#finish(end, message);
    this.#controller?.abort(new Error(message));
  }

  #finish(end: RunEnd, message?: string): void {
    this.#isEnded = true;
    const sent = this.#controller !== undefined;
    this.handleEnd({ end, sent, runMs: performance.now() - this.#startedAt, message });
  }
}
