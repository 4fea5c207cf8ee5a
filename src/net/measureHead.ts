import type { IncomingMessage } from 'node:http';

/** Separators of a header line: colon, space and line end. */
const LINE_OVERHEAD = 4;
/** Spaces, version and line ends of a request without headers. */
const REQUEST_OVERHEAD = 14;

/** Measures the header of a request in bytes, with its request line. */
export function measureHead({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  const lines = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const overhead = (rawHeaders.length / 2) * LINE_OVERHEAD + REQUEST_OVERHEAD;
  return method.length + url.length + lines + overhead;
}
