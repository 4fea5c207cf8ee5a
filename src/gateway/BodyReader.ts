import type { IncomingMessage } from 'node:http';
import type { Problem } from '../job/mod.js';
import { MAX_BODY_BYTES } from './checkRequest.js';

/** Buffered bodies of all requests of a gateway, within the 256 MB of memory of its host. */
const MAX_BUFFERED_BYTES = 96 * 1024 * 1024;
/** Time that a caller has to send its body. */
const BODY_TIMEOUT_MS = 10_000;
const EMPTY_BODY = Buffer.alloc(0);

/** Limits of a body reader. */
export interface BodyReaderOptions {
  maxBufferedBytes?: number;
  timeoutMs?: number;
}

/**
 * A complete body, or the problem to report, or `undefined` if the caller closed the connection.
 */
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

/**
 * Reads request bodies with a timeout, a size limit for each and a limit for all buffered bodies.
 */
export class BodyReader {
  readonly #maxBufferedBytes: number;

  readonly #timeoutMs: number;

  #bufferedBytes = 0;

  constructor(options: BodyReaderOptions = {}) {
    this.#maxBufferedBytes = options.maxBufferedBytes ?? MAX_BUFFERED_BYTES;
    this.#timeoutMs = options.timeoutMs ?? BODY_TIMEOUT_MS;
  }

  /** Number of bytes currently buffered. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /** Whether the headers of a request declare no body. */
  static isEmpty({ headers }: IncomingMessage): boolean {
    return (
      headers['transfer-encoding'] === undefined &&
      (headers['content-length'] === undefined || headers['content-length'] === '0')
    );
  }

  /** Reads a body. It counts as buffered until `release` is called with its length. */
  read(request: IncomingMessage): Promise<BodyResult> {
    if (BodyReader.isEmpty(request)) return Promise.resolve({ body: EMPTY_BODY });
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
        const detail = `the deadline is ${this.#timeoutMs} ms`;
        finish(buildProblem(408, 'The body did not arrive in time', detail));
      }, this.#timeoutMs);
      request.on('data', (chunk: Buffer) => {
        if (isDone) return;
        size += chunk.length;
        this.#bufferedBytes += chunk.length;
        chunks.push(chunk);
        if (size > MAX_BODY_BYTES) {
          const detail = `the limit is ${MAX_BODY_BYTES} bytes`;
          finish(buildProblem(413, 'The body is too large', detail));
        } else if (this.#bufferedBytes > this.#maxBufferedBytes) {
          finish(buildProblem(503, 'Too many bodies are held', 'try again later'));
        }
      });
      request.once('end', () => finish({ body: Buffer.concat(chunks, size) }));
      request.once('close', () => finish(undefined));
    });
  }

  /** Releases the buffer space of a body. */
  release(bytes: number): void {
    this.#bufferedBytes -= bytes;
  }
}
