import type { Job, Outcome, Problem } from '../job/mod.js';
import type { HeaderMap } from './stripHeaders.js';

/** The start of an upstream's answer, with its end-to-end and hop-by-hop headers. */
export interface ResponseHead {
  status: number;
  headers: HeaderMap;
}

/** One job with its caller: the request has been read in full, the answer is still to come. */
export abstract class Exchange {
  abstract readonly job: Job;

  abstract readonly method: string;

  /** Path with query. */
  abstract readonly path: string;

  /** End-to-end headers without internal ones. */
  abstract readonly headers: HeaderMap;

  abstract readonly body: Buffer;

  /** Whether the caller has gone away before the end of the answer. */
  abstract get isAbandoned(): boolean;

  /** Whether the caller may have received a part of an answer. */
  abstract get hasBegun(): boolean;

  /** Runs a function when the caller's connection closes, also after the end of the answer. */
  abstract addCloseListener(listener: () => void): void;

  /** Runs a function once the caller has taken what was written. */
  abstract addDrainListener(listener: () => void): void;

  /** Begins the answer. */
  abstract sendHead(head: ResponseHead, outcome: Outcome): void;

  /** Passes a part of the body on; false asks for a pause until the drain. */
  abstract writeChunk(chunk: Buffer): boolean;

  /** Ends a complete answer. */
  abstract finish(): void;

  /** Destroys the caller's connection, so that a part is never taken for the whole. */
  abstract cancel(): void;

  /** Answers with a problem document instead of an upstream's answer. */
  abstract sendProblem(problem: Problem): void;
}
