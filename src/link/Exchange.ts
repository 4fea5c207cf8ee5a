import type { Job, Outcome, Problem } from '../job/mod.js';
import type { HeaderMap } from './stripHeaders.js';

/** The head of an upstream's response, with end-to-end and hop-by-hop headers. */
export interface ResponseHead {
  status: number;
  headers: HeaderMap;
}

/** A caller's HTTP exchange for one job. The request has been read in full. */
export abstract class Exchange {
  abstract readonly job: Job;

  abstract readonly method: string;

  /** Path with query string. */
  abstract readonly path: string;

  /** End-to-end headers, without internal ones. */
  abstract readonly headers: HeaderMap;

  abstract readonly body: Buffer;

  /** Whether the caller disconnected before the end of the response. */
  abstract get isAbandoned(): boolean;

  /** Whether the caller may have received a part of the response. */
  abstract get hasBegun(): boolean;

  /** Calls the listener when the caller's connection closes, also after the end of the response. */
  abstract addCloseListener(listener: () => void): void;

  /** Calls the listener once the write buffer to the caller has drained. */
  abstract addDrainListener(listener: () => void): void;

  /** Starts the response. */
  abstract sendHead(head: ResponseHead, outcome: Outcome): void;

  /** Writes a part of the body. Returns false if the writer must wait for the drain listener. */
  abstract writeChunk(chunk: Buffer): boolean;

  /** Ends a complete response. */
  abstract finish(): void;

  /** Destroys the caller's connection, so that a partial response does not look complete. */
  abstract cancel(): void;

  /** Responds with a problem document (RFC 9457) instead of an upstream response. */
  abstract sendProblem(problem: Problem): void;
}
