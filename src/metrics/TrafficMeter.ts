import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

const CHANNELS = ['net.client.socket', 'net.server.socket'];

/** Bytes over connections. */
export interface Traffic {
  bytesIn: number;
  bytesOut: number;
}

/** Counts the bytes of every TCP connection that this process opens or accepts from now on. */
export class TrafficMeter {
  readonly #sockets = new Set<Socket>();

  readonly #closed: Traffic = { bytesIn: 0, bytesOut: 0 };

  readonly #onSocket = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    this.#sockets.add(socket);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#closed.bytesIn += socket.bytesRead;
      this.#closed.bytesOut += socket.bytesWritten;
    });
  };

  constructor() {
    CHANNELS.forEach((channel) => subscribe(channel, this.#onSocket));
  }

  /** Reads the totals. */
  read(): Traffic {
    const total = { ...this.#closed };
    this.#sockets.forEach((socket) => {
      total.bytesIn += socket.bytesRead;
      total.bytesOut += socket.bytesWritten;
    });
    return total;
  }

  /** Stops to count new connections. */
  close(): void {
    CHANNELS.forEach((channel) => unsubscribe(channel, this.#onSocket));
  }
}
