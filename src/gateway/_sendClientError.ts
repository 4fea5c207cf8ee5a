import type { Duplex } from 'node:stream';

/** Errors of the HTTP parser: the status and the field at fault. */
const FAULTS: Record<string, [status: string, field: string]> = {
  HPE_INVALID_CONTENT_LENGTH: ['400 Bad Request', 'Content-Length'],
  HPE_UNEXPECTED_CONTENT_LENGTH: ['400 Bad Request', 'Content-Length'],
  HPE_INVALID_TRANSFER_ENCODING: ['400 Bad Request', 'Transfer-Encoding'],
  HPE_HEADER_OVERFLOW: ['431 Request Header Fields Too Large', 'header'],
  ERR_HTTP_REQUEST_TIMEOUT: ['408 Request Timeout', 'header'],
};

/** Answers a request that the HTTP parser refused, and ends the connection. */
export function sendClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  // An answer under way on the connection must not be mixed with another one.
  // eslint-disable-next-line no-underscore-dangle -- the only sign that node:http gives.
  const hasAnswer = '_httpMessage' in socket && socket._httpMessage !== null;
  if (!socket.writable || hasAnswer || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const [status, field] = FAULTS[error.code ?? ''] ?? ['400 Bad Request', 'request'];
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
