import type { IncomingMessage, ServerResponse } from 'node:http';
import { Exchange, stripHeaders, type ResponseHead, type HeaderMap } from '../link/mod.js';
import type { Job, Outcome, Problem } from '../job/mod.js';
import { OUTCOME_HEADER, sendProblem } from './sendProblem.js';

export const REQUEST_ID_HEADER = 'x-request-id';
/** Answer bytes buffered for a caller that reads more slowly than the upstream host sends. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/**
 * A caller that reads nothing for this long is disconnected, since it occupies an upstream slot.
 */
const STALL_TIMEOUT_MS = 5_000;

/** Options of an exchange. */
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
    // The HTTP client sets the length of the buffered body, whatever its original transfer coding.
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
    const timer = setTimeout(() => this.cancel(), STALL_TIMEOUT_MS);
    const resumeWriting = (): void => {
      clearTimeout(timer);
      this.#response.off('drain', resumeWriting);
      this.#response.off('close', resumeWriting);
      listener();
    };
    this.#response.on('drain', resumeWriting);
    this.#response.on('close', resumeWriting);
  }

  override sendHead({ status, headers }: ResponseHead, outcome: Outcome): void {
    const answerHeaders = stripHeaders(headers);
    answerHeaders[OUTCOME_HEADER] = outcome;
    answerHeaders[REQUEST_ID_HEADER] = this.job.id;
    this.#response.writeHead(status, answerHeaders);
  }

  override writeChunk(chunk: Buffer): boolean {
    return this.#response.write(chunk) || this.#response.writableLength < MAX_BUFFERED_BYTES;
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
