import type { IncomingMessage, ServerResponse } from 'node:http';
import { Exchange, stripHeaders, type ResponseHead, type HeaderMap } from '../link/mod.js';
import type { Job, Outcome, Problem } from '../job/mod.js';
import { OUTCOME_HEADER, sendProblem } from './sendProblem.js';

export const REQUEST_ID_HEADER = 'x-request-id';
/** Answer bytes held for a caller that reads slower than its upstream sends. */
const MAX_HELD_BYTES = 256 * 1024;
/** A caller that takes nothing for this long while an upstream's slot waits is cut off. */
const STALL_DEADLINE_MS = 5_000;

/** The parts of an exchange. */
export interface JobExchangeOptions {
  job: Job;
  request: IncomingMessage;
  response: ServerResponse;
  body: Buffer;
}

/** An exchange over the HTTP connection of a caller or of another gateway. */
export class JobExchange extends Exchange {
  override readonly job: Job;

  override readonly method: string;

  override readonly path: string;

  override readonly headers: HeaderMap;

  override readonly body: Buffer;

  readonly #response: ServerResponse;

  constructor({ job, request, response, body }: JobExchangeOptions) {
    super();
    this.job = job;
    this.method = request.method ?? 'GET';
    this.path = request.url ?? '/';
    this.headers = stripHeaders(request.headers);
    // The sender states the length of the body that was read, whatever its coding was.
    delete this.headers['content-length'];
    this.body = body;
    this.#response = response;
  }

  override get isAbandoned(): boolean {
    return this.#response.destroyed && !this.#response.writableFinished;
  }

  override get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  override addCloseListener(listener: () => void): void {
    this.#response.once('close', listener);
  }

  override addDrainListener(listener: () => void): void {
    const timer = setTimeout(() => this.cancel(), STALL_DEADLINE_MS);
    const proceed = (): void => {
      clearTimeout(timer);
      this.#response.off('drain', proceed);
      this.#response.off('close', proceed);
      listener();
    };
    this.#response.on('drain', proceed);
    this.#response.on('close', proceed);
  }

  override sendHead({ status, headers }: ResponseHead, outcome: Outcome): void {
    const kept = stripHeaders(headers);
    kept[OUTCOME_HEADER] = outcome;
    kept[REQUEST_ID_HEADER] = this.job.id;
    this.#response.writeHead(status, kept);
  }

  override writeChunk(chunk: Buffer): boolean {
    return this.#response.write(chunk) || this.#response.writableLength < MAX_HELD_BYTES;
  }

  override finish(): void {
    this.#response.end();
  }

  override cancel(): void {
    this.#response.destroy();
  }

  override sendProblem(problem: Problem): void {
    sendProblem(this.#response, { ...problem, requestId: this.job.id });
  }
}
