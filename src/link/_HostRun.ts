import { errors, type Dispatcher } from 'undici';
import type { Exchange } from './Exchange.js';
import type { RunEnd, RunResult } from './RunResult.js';
import type { HeaderMap } from './stripHeaders.js';

const LEAVING_STATUS = 503;
const FIRST_SERVER_ERROR = 500;
const FIRST_FINAL_STATUS = 200;

/** Options of a run. */
export interface HostRunOptions {
  host: string;
  /** Whether a server error is kept from the caller, because the job may be retried. */
  isRetryable: boolean;
  reply: (result: RunResult) => void;
}

/** Reads header pairs byte by byte: an upstream's values need not be valid UTF-8. */
function decodeHeaders(raw: unknown): HeaderMap {
  const parts = raw as Buffer[];
  const headers: HeaderMap = {};
  for (let index = 0; index + 1 < parts.length; index += 2) {
    const name = (parts[index] as Buffer).toString('latin1').toLowerCase();
    const value = (parts[index + 1] as Buffer).toString('latin1');
    const earlier = headers[name];
    headers[name] = earlier === undefined ? value : [earlier, value].flat();
  }
  return headers;
}

/** One run on one connection: passes the answer on and states truthfully what was sent. */
export class HostRun implements Dispatcher.DispatchHandler {
  readonly #exchange: Exchange;

  readonly #options: HostRunOptions;

  readonly #startedAt = performance.now();

  #controller: Dispatcher.DispatchController | undefined;

  #status: number | undefined;

  #leaving = false;

  #withheld = false;

  #ended = false;

  constructor(exchange: Exchange, options: HostRunOptions) {
    this.#exchange = exchange;
    this.#options = options;
  }

  get isEnded(): boolean {
    return this.#ended;
  }

  /** Called just before the first byte of the request is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#controller !== undefined || this.#ended) {
      // A request is written once: the client must not repeat it on another connection.
      controller.abort(new Error('the request has been written before'));
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < FIRST_FINAL_STATUS || this.#ended) return;
    const headers = decodeHeaders(controller.rawHeaders);
    this.#status = status;
    const connection = String(headers.connection ?? '').toLowerCase();
    this.#leaving = status === LEAVING_STATUS && connection.includes('close');
    this.#withheld = this.#options.isRetryable && status >= FIRST_SERVER_ERROR;
    if (this.#withheld) return;
    this.#exchange.sendHead({ status, headers }, this.#leaving ? 'unknown' : 'ran');
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#withheld || this.#ended) return;
    if (this.#exchange.writeChunk(chunk)) return;
    controller.pause();
    this.#exchange.addDrainListener(() => controller.resume());
  }

  onResponseEnd(): void {
    if (this.#ended) return;
    if (this.#withheld) {
      this.#finish('withheld');
      return;
    }
    this.#exchange.finish();
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

  /** Ends the run without a complete answer; the connection must not be used again. */
  fail(end: RunEnd, message: string): void {
    if (this.#ended) return;
    if (this.#exchange.hasBegun) this.#exchange.cancel();
    this.#finish(end, message);
    this.#controller?.abort(new Error(message));
  }

  #finish(end: RunEnd, message?: string): void {
    this.#ended = true;
    this.#options.reply({
      host: this.#options.host,
      end,
      sent: this.#controller !== undefined,
      begun: this.#exchange.hasBegun,
      status: this.#status,
      leaving: this.#leaving,
      runMs: performance.now() - this.#startedAt,
      message,
    });
  }
}
