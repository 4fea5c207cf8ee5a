import { Client } from 'undici';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Exchange } from './Exchange.js';
import { HostRun } from './_HostRun.js';
import type { RunResult } from './RunResult.js';

/** A host in the same data centre that takes longer to accept a connection is unreachable. */
export const CONNECT_TIMEOUT_MS = 2_000;
/**
 * Less than the 5 s after which HTTP servers usually close an idle connection, so that no request
 * is sent on a connection that the server is closing.
 */
const IDLE_TIMEOUT_MS = 4_000;

/** Messages that the link receives. */
export type HostLinkMessage =
  | {
      type: 'run';
      exchange: Exchange;
      timeoutMs: number;
      /** Whether a server error is withheld from the caller, because the job may be retried. */
      isRetryable: boolean;
      /** Monotonic time in milliseconds after which the request must not be written. */
      sendDeadline: number;
      reply: (result: RunResult) => void;
    }
  | { type: 'share'; connections: number }
  /** The host has been removed: the link closes itself once its runs in flight have ended. */
  | { type: 'retire' };

/** Options of a link. */
export interface HostLinkOptions {
  address: string;
  /** Share of the host's connections at the start; a `share` message changes it. */
  connections: number;
}

/** Owns the connections to one upstream host. Each connection carries one request at a time. */
export class HostLink extends Actor<HostLinkMessage> {
  readonly #host: string;

  readonly #origin: string;

  #connections: number;

  #isRetired = false;

  readonly #idle: Client[] = [];

  readonly #busy = new Set<Client>();

  constructor(scope: ActorScope, host: string, options: HostLinkOptions) {
    super(scope, `host-link ${host}`);
    this.#host = host;
    this.#origin = `http://${options.address}`;
    this.#connections = options.connections;
  }

  protected override receive(message: HostLinkMessage): void {
    if (message.type === 'run') {
      this.#run(message);
      return;
    }
    this.#isRetired = message.type === 'retire';
    this.#connections = message.type === 'retire' ? 0 : message.connections;
    while (this.#idle.length > 0 && this.#idle.length + this.#busy.size > this.#connections) {
      HostLink.#closeClient(this.#idle.pop() as Client);
    }
    this.#closeIfRetired();
  }

  #closeIfRetired(): void {
    if (!this.#isRetired || this.#busy.size > 0 || this.isClosed) return;
    this.close().catch((error: Error) => this.scope.reportError(this.name, error));
  }

  override async close(): Promise<void> {
    super.close();
    await Promise.all([...this.#idle, ...this.#busy].map((client) => client.destroy()));
  }

  #run(message: Extract<HostLinkMessage, { type: 'run' }>): void {
    const { exchange, isRetryable, sendDeadline, timeoutMs } = message;
    const client = this.#takeClient();
    let timer: NodeJS.Timeout | undefined;
    const run = new HostRun(exchange, {
      host: this.#host,
      isRetryable,
      sendDeadline,
      reply: (result) => {
        clearTimeout(timer);
        if (client) this.#releaseClient(client, result);
        message.reply(result);
      },
    });
    timer = setTimeout(() => HostLink.#stop(client, run, 'timeout'), timeoutMs);
    if (client === undefined) {
      run.fail('busy', 'the share of connections is used up');
      return;
    }
    if (exchange.isAbandoned) {
      run.fail('abandoned', 'the caller has gone away');
      return;
    }
    exchange.addCloseListener(() => HostLink.#stop(client, run, 'abandoned'));
    client.dispatch(
      {
        method: exchange.method,
        path: exchange.path,
        headers: {
          ...exchange.headers,
          'x-request-id': exchange.job.id,
          'buckthornreach-timeout-ms': String(Math.ceil(timeoutMs)),
        },
        body: exchange.body.length > 0 ? exchange.body : null,
      },
      run,
    );
  }

  /** Ends a run early. Destroying the client prevents an unsent request from being sent. */
  static #stop(client: Client | undefined, run: HostRun, end: 'timeout' | 'abandoned'): void {
    if (run.isEnded) return;
    run.fail(end, end === 'timeout' ? 'the deadline has passed' : 'the caller has gone away');
    if (client) HostLink.#closeClient(client);
  }

  #takeClient(): Client | undefined {
    let client = this.#idle.pop();
    if (client === undefined) {
      if (this.#busy.size >= this.#connections) return undefined;
      client = new Client(this.#origin, {
        pipelining: 1,
        // No timeouts here: the timer set in `#run` limits each run as a whole.
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
    }
    this.#busy.add(client);
    return client;
  }

  /** Returns a connection to the idle ones if its response was complete; otherwise closes it. */
  #releaseClient(client: Client, { end }: RunResult): void {
    this.#busy.delete(client);
    const isReusable = end === 'answered' || end === 'withheld';
    const isWithinShare = this.#idle.length + this.#busy.size < this.#connections;
    if (isReusable && isWithinShare && !this.isClosed) this.#idle.push(client);
    else HostLink.#closeClient(client);
    this.#closeIfRetired();
  }

  static #closeClient(client: Client): void {
    client.destroy().catch(() => undefined);
  }
}
