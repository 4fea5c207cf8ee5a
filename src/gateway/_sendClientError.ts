import type { Duplex } from 'node:stream';

/** Error codes of the HTTP parser, with the status and the invalid field to report. */
const PARSER_ERRORS: Record<string, [status: string, field: string]> = {
  HPE_INVALID_CONTENT_LENGTH: ['400 Bad Request', 'Content-Length'],
  HPE_UNEXPECTED_CONTENT_LENGTH: ['400 Bad Request', 'Content-Length'],
  HPE_INVALID_TRANSFER_ENCODING: ['400 Bad Request', 'Transfer-Encoding'],
  HPE_HEADER_OVERFLOW: ['431 Request Header Fields Too Large', 'header'],
  ERR_HTTP_REQUEST_TIMEOUT: ['408 Request Timeout', 'header'],
};

/**
 * Returns the status and the field to report for an error of the parser.
 *
 * Parsers differ in which of two conflicting headers they blame: of Content-Length and
 * Transfer-Encoding, the response always names the latter.
 */
function describeParserError({ code, message }: NodeJS.ErrnoException): [string, string] {
  const isConflict = code === 'HPE_UNEXPECTED_CONTENT_LENGTH' && /transfer-encoding/i.test(message);
  if (isConflict) return ['400 Bad Request', 'Transfer-Encoding'];
  return PARSER_ERRORS[code ?? ''] ?? ['400 Bad Request', 'request'];
}

/** Answers a request that the HTTP parser rejected, and closes the connection. */
export function sendClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  // A second response must not be written into one that is in progress on the connection.
  // eslint-disable-next-line no-underscore-dangle -- node:http offers no public property for this.
  const hasActiveResponse = '_httpMessage' in socket && socket._httpMessage !== null;
  if (!socket.writable || hasActiveResponse || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const [status, field] = describeParserError(error);
  const body = JSON.stringify({
    type: 'about:blank',
    title: 'The request is not valid',
    status: Number.parseInt(status, 10),
    field,
    detail: error.message,
    outcome: 'not-run',
  });
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/problem+json\r\nconnection: close\r\n` +
      `buckthornreach-outcome: not-run\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}
