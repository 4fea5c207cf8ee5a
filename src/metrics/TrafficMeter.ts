import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

const SOCKET_CHANNELS = ['net.client.socket', 'net.server.socket'];

/** Bytes received and sent over connections. */
export interface Traffic {
  bytesIn: number;
  bytesOut: number;
}

/** Counts the bytes of all TCP connections that are opened or accepted after its construction. */
export class TrafficMeter {
  readonly #sockets = new Set<Socket>();

  readonly #closedTotals: Traffic = { bytesIn: 0, bytesOut: 0 };

  readonly #onSocket = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    this.#sockets.add(socket);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#closedTotals.bytesIn += socket.bytesRead;
      this.#closedTotals.bytesOut += socket.bytesWritten;
    });
  };

  constructor() {
    SOCKET_CHANNELS.forEach((channel) => subscribe(channel, this.#onSocket));
  }

  /** Reads the totals of open and closed connections. */
  read(): Traffic {
    const total = { ...this.#closedTotals };
    this.#sockets.forEach((socket) => {
      total.bytesIn += socket.bytesRead;
      total.bytesOut += socket.bytesWritten;
    });
    return total;
  }

  /** Stops counting new connections. */
  close(): void {
    SOCKET_CHANNELS.forEach((channel) => unsubscribe(channel, this.#onSocket));
  }
}
