import type { Socket } from 'node:net';

/** Bytes that the parser gets at a time; some 130 of the shortest requests. */
const SLICE_BYTES = 4_096;

/**
 * Makes the HTTP server parse the input of a socket in small slices, and none after the socket has
 * been destroyed.
 *
 * The server otherwise parses all that one read returned, up to 64 KiB, and creates the objects of
 * all requests in it, up to 2,000, before it can be stopped. It keeps them until the end of the turn
 * of the event loop: 20 connections that were closed at once needed more than 60 MB.
 *
 * To be called in the `connection` event, in which the server has added its listener. `onInput` is
 * called after the parser has received input.
 */
export function paceParserInput(socket: Socket, onInput: () => void): void {
  const listeners = socket.listeners('data') as ((chunk: Buffer) => void)[];
  const [parse] = listeners;
  if (parse === undefined || listeners.length > 1) {
    socket.on('data', onInput);
    return;
  }
  socket.removeListener('data', parse);
  socket.on('data', (chunk: Buffer) => {
    for (let start = 0; start < chunk.length && !socket.destroyed; start += SLICE_BYTES) {
      if (socket.isPaused()) {
        // The server has paused its parser; the rest follows when it resumes the socket.
        socket.unshift(chunk.subarray(start));
        return;
      }
      parse(chunk.subarray(start, start + SLICE_BYTES));
      onInput();
    }
  });
}
