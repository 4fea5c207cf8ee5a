import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { parseAddress } from '../net/mod.js';

/**
 * A TCP relay in front of a process, which can be cut like a network link.
 *
 * While it is cut, connections are accepted and carry nothing, as if packets were dropped; the
 * connections that were open are not closed either, since a real cut closes nothing.
 *
 * @example
 * ```ts
 * const relay = new LinkRelay();
 * const address = await relay.open('127.0.0.1:7000');
 * relay.cut();
 * relay.restore();
 * ```
 */
export class LinkRelay {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  #target = '';

  #isCut = false;

  constructor() {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Opens the relay to a target and returns its own address. */
  open(target: string): Promise<string> {
    this.#target = target;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops every byte in both directions. */
  cut(): void {
    this.#isCut = true;
    this.#sockets.forEach((socket) => socket.pause());
  }

  /** Ends the cut; connections made before or during it are reset, as after a long cut. */
  restore(): void {
    this.#isCut = false;
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Closes the relay and its connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#sockets.forEach((socket) => socket.destroy());
    });
  }

  #accept(socket: Socket): void {
    this.#track(socket);
    if (this.#isCut) {
      socket.pause();
      return;
    }
    const { host, port } = parseAddress(this.#target);
    const far = connect(port, host);
    this.#track(far);
    socket.pipe(far);
    far.pipe(socket);
    socket.once('close', () => far.destroy());
    far.once('close', () => socket.destroy());
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    // A reset connection is what the relay is for; the processes on both sides see it as well.
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.#sockets.delete(socket));
  }
}
