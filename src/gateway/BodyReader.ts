import type { IncomingMessage } from 'node:http';
import type { Problem } from '../job/mod.js';
import { MAX_BODY_BYTES } from './checkRequest.js';

/** Bodies held at the same time by all requests of a gateway, within the 256 MB of an entry host. */
const MAX_BUFFERED_BYTES = 96 * 1024 * 1024;
/** A caller has this long to send its body. */
const BODY_DEADLINE_MS = 10_000;
const EMPTY = Buffer.alloc(0);

/** Bounds of a reader. */
export interface BodyReaderOptions {
  maxBufferedBytes?: number;
  deadlineMs?: number;
}

/** A body that was read, or why it was not; undefined if the caller has gone away. */
export type BodyResult = { body: Buffer } | { problem: Problem } | undefined;

function buildProblem(status: number, title: string, detail: string): { problem: Problem } {
  return {
    problem: {
      type: 'about:blank',
      title,
      status,
      detail,
      field: 'body',
      outcome: 'not-run',
      ...(status === 503 ? { retryAfterSeconds: 1 } : {}),
    },
  };
}

/** Reads request bodies with a deadline, a limit for each and a bound over all of them. */
export class BodyReader {
  readonly #maxBufferedBytes: number;

  readonly #deadlineMs: number;

  #buffered = 0;

  constructor(options: BodyReaderOptions = {}) {
    this.#maxBufferedBytes = options.maxBufferedBytes ?? MAX_BUFFERED_BYTES;
    this.#deadlineMs = options.deadlineMs ?? BODY_DEADLINE_MS;
  }

  /** Bytes held at the moment. */
  get buffered(): number {
    return this.#buffered;
  }

  /** Whether a request announces no body. */
  static isEmpty({ headers }: IncomingMessage): boolean {
    return (
      headers['transfer-encoding'] === undefined &&
      (headers['content-length'] === undefined || headers['content-length'] === '0')
    );
  }

  /** Reads a body. What was read stays counted until `release` is called with its length. */
  read(request: IncomingMessage): Promise<BodyResult> {
    if (BodyReader.isEmpty(request)) return Promise.resolve({ body: EMPTY });
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      let isDone = false;
      let timer: NodeJS.Timeout | undefined;
      const finish = (result: BodyResult): void => {
        if (isDone) return;
        isDone = true;
        clearTimeout(timer);
        if (result === undefined || 'problem' in result) this.release(size);
        resolve(result);
      };
      timer = setTimeout(() => {
        const detail = `the deadline is ${this.#deadlineMs} ms`;
        finish(buildProblem(408, 'The body did not arrive in time', detail));
      }, this.#deadlineMs);
      request.on('data', (chunk: Buffer) => {
        if (isDone) return;
        size += chunk.length;
        this.#buffered += chunk.length;
        chunks.push(chunk);
        if (size > MAX_BODY_BYTES) {
          const detail = `the limit is ${MAX_BODY_BYTES} bytes`;
          finish(buildProblem(413, 'The body is too large', detail));
        } else if (this.#buffered > this.#maxBufferedBytes) {
          finish(buildProblem(503, 'Too many bodies are held', 'try again later'));
        }
      });
      request.once('end', () => finish({ body: Buffer.concat(chunks, size) }));
      request.once('close', () => finish(undefined));
    });
  }

  /** Gives back what a body took. */
  release(bytes: number): void {
    this.#buffered -= bytes;
  }
}
