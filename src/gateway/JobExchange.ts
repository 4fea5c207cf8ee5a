import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import type { Readable } from 'node:stream';
import { stripHeaders, type HeaderMap } from '../link/stripHeaders.js';
import { OUTCOME_HEADER, sendProblem } from './sendProblem.js';
import type { Job, Outcome, Problem } from '../job/mod.js';

export const REQUEST_ID_HEADER = 'x-request-id';

/** The start of an upstream's answer. */
export interface AnswerHead {
  status: number;
  headers: HeaderMap;
  /** As another gateway reported it; an upstream host's own answer means that the job ran. */
  outcome?: Outcome;
}

/** One job with the caller's connection: its body has been read, its answer is still to come. */
export class JobExchange {
  readonly job: Job;

  readonly method: string;

  readonly path: string;

  readonly headers: HeaderMap;

  readonly body: Buffer;

  readonly #response: ServerResponse;

  constructor(job: Job, request: IncomingMessage, body: Buffer, response: ServerResponse) {
    this.job = job;
    this.method = request.method ?? 'GET';
    this.path = request.url ?? '/';
    this.headers = stripHeaders(request.headers);
    this.body = body;
    this.#response = response;
  }

  /** Whether the caller has gone away. */
  get isAbandoned(): boolean {
    return this.#response.destroyed;
  }

  /** Runs a function when the caller's connection closes, also after the end of the answer. */
  addCloseListener(listener: () => void): void {
    this.#response.once('close', listener);
  }

  /**
   * Passes an upstream's answer on. When it ends short, the caller's connection is destroyed, so
   * that a part is never taken for the whole.
   */
  async sendAnswer(head: AnswerHead, body: Readable): Promise<void> {
    const headers = stripHeaders(head.headers);
    headers[OUTCOME_HEADER] = head.outcome ?? ('ran' satisfies Outcome);
    headers[REQUEST_ID_HEADER] = this.job.id;
    this.#response.writeHead(head.status, headers);
    await pipeline(body, this.#response);
  }

  /** Refuses the job, or reports its failure, with a problem document. */
  sendProblem(problem: Problem): void {
    sendProblem(this.#response, { ...problem, requestId: this.job.id });
  }
}
