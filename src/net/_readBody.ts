import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from '../ingress/mod.js';
import { BodyTooLargeError } from './BodyTooLargeError.js';

/** Options of `readBody`. */
export interface ReadBodyOptions {
  /** Maximum size of the body in bytes. */
  limit: number;
  /** Called with the size of each chunk; the body is given up if it throws. */
  onChunk: (bytes: number) => void;
}

/**
 * Reads the body of a request.
 *
 * It uses events, since the iterator of a stream takes several times the CPU time for each chunk,
 * and callers choose the size of the chunks.
 *
 * @throws `BodyTooLargeError`, the error of `onChunk`, or the error of the connection.
 */
export function readBody(
  request: IncomingMessage,
  { limit, onChunk }: ReadBodyOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new BodyBuffer();
    request.on('data', (chunk: Buffer) => {
      try {
        if (body.length + chunk.length > limit) {
          throw new BodyTooLargeError(`more than ${limit} bytes`);
        }
        onChunk(chunk.length);
        body.append(chunk);
      } catch (error) {
        request.removeAllListeners('data').pause();
        reject(error instanceof Error ? error : new Error(String(error)));
      }
    });
    let isComplete = false;
    request.once('end', () => {
      isComplete = true;
      resolve(body.read());
    });
    request.once('error', reject);
    request.once('close', () => {
      // Built only if needed: an error with its stack costs processor time, and every request closes.
      if (!isComplete) reject(new Error('the connection was closed within the body'));
    });
  });
}
