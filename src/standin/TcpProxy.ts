import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { parseAddress } from '../net/mod.js';

/**
 * A TCP proxy that can simulate a network partition.
 *
 * While it is suspended, it accepts connections but forwards nothing, as if packets were dropped. Open
 * connections are not closed, because a real partition does not close them either.
 *
 * @example
 * ```ts
 * const proxy = new TcpProxy();
 * const address = await proxy.open('127.0.0.1:7000');
 * proxy.suspend();
 * proxy.restore();
 * ```
 */
export class TcpProxy {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  #target = '';

  #isSuspended = false;

  constructor() {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts forwarding to a target address and returns the listen address. */
  open(target: string): Promise<string> {
    this.#target = target;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Suspends forwarding in both directions. */
  suspend(): void {
    this.#isSuspended = true;
    this.#sockets.forEach((socket) => socket.pause());
  }

  /** Resumes forwarding, after closing all current connections, as after a long partition. */
  restore(): void {
    this.#isSuspended = false;
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Closes the proxy and its connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#sockets.forEach((socket) => socket.destroy());
    });
  }

  #accept(socket: Socket): void {
    this.#track(socket);
    if (this.#isSuspended) {
      socket.pause();
      return;
    }
    const { host, port } = parseAddress(this.#target);
    const upstream = connect(port, host);
    this.#track(upstream);
    socket.pipe(upstream);
    upstream.pipe(socket);
    socket.once('close', () => upstream.destroy());
    upstream.once('close', () => socket.destroy());
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    // Connection resets are expected; the processes on both sides handle them.
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.#sockets.delete(socket));
  }
}
