import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { closeServer, openServer } from '../net/mod.js';
import { HostList, ListedHost } from './HostList.js';
import { PlatformLog } from './PlatformLog.js';

const DEFAULT_RETENTION_MS = 3_600_000;

/** Faults to inject. */
export const PlatformFaults = z.object({
  /** Every request is answered with status 503. */
  down: z.boolean().default(false),
  /** Delay in ms before a request is executed. */
  delayMs: z.number().nonnegative().default(0),
  /** Number of appends that take effect but whose response is lost. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Number of appends that are answered with status 503 and take effect `lateMs` later. */
  lateAppends: z.number().int().nonnegative().default(0),
  lateMs: z.number().nonnegative().default(1_000),
  /**
   * Appends that contain this text are answered with status 503 and take effect when the faults
   * are next set. An empty text matches none.
   */
  heldText: z.string().default(''),
  /** Every append is answered with status 503. */
  refuseAppends: z.boolean().default(false),
  /** Delay in ms before changes of the host list become visible. */
  listLagMs: z.number().nonnegative().default(0),
  /** Time in ms for which a rebooting host is off the list. */
  rebootMs: z.number().nonnegative().default(1_000),
  /** Hosts that do not return from a reboot. */
  lostHosts: z.array(z.string()).default([]),
});
export type PlatformFaults = z.infer<typeof PlatformFaults>;

const AppendCall = z.object({ values: z.array(z.string()) });

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];

  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/**
 * A minimal stand-in for the platform: logs with offsets, a host list, and fault injection.
 *
 * `POST /streams/NAME/entries`, `GET /streams/NAME/entries`, `GET /hosts`, `PUT /hosts`,
 * `POST /hosts/NAME/reboot`, `GET /reboots`, `PUT /faults`.
 * A rebooting host is off the list until it returns.
 */
export class PlatformStandin {
  readonly #retentionMs: number;

  readonly #server: Server;

  readonly #streams = new Map<string, PlatformLog>();

  readonly #hosts = new HostList();

  #faults = PlatformFaults.parse({});

  /** Appends that take effect when the faults are next set. */
  #heldAppends: (() => number)[] = [];

  /** Timers of rebooting hosts; undefined for a lost host. */
  readonly #rebooting = new Map<string, NodeJS.Timeout | undefined>();

  /** Executed reboots with their start times. */
  readonly #reboots: { host: string; time: number }[] = [];

  constructor(retentionMs = DEFAULT_RETENTION_MS) {
    this.#retentionMs = retentionMs;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error: Error) => {
        response.writeHead(400).end(JSON.stringify({ error: error.message }));
      });
    });
  }

  /** Opens the server and returns its address. */
  open(address = '127.0.0.1:0'): Promise<string> {
    return openServer(this.#server, address);
  }

  /** Sets the faults and executes the appends that were held back. */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = PlatformFaults.parse(faults);
    this.#heldAppends.splice(0).forEach((append) => append());
  }

  /** Replaces the host list, after the lag of the faults. */
  setHosts(hosts: ListedHost[]): void {
    setTimeout(() => this.#hosts.replace(hosts), this.#faults.listLagMs).unref();
  }

  /** Lists the hosts that are visible to readers. */
  listHosts(): ListedHost[] {
    return this.#hosts.read(0).hosts;
  }

  /** Removes a host from the list for the duration of a reboot; a repeated call has no effect. */
  startReboot(host: string): void {
    if (this.#rebooting.has(host)) return;
    this.#reboots.push({ host, time: Date.now() });
    this.#hosts.remove(host);
    const timer = this.#faults.lostHosts.includes(host)
      ? undefined
      : setTimeout(() => {
          this.#rebooting.delete(host);
          this.#hosts.put({ host, state: 'live' });
        }, this.#faults.rebootMs);
    this.#rebooting.set(host, timer);
  }

  /** Closes the server. */
  close(): Promise<void> {
    this.#rebooting.forEach((timer) => clearTimeout(timer));
    return closeServer(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://platform');
    const reply = (status: number, body: unknown): void => {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    };
    if (request.method === 'PUT' && url.pathname === '/faults') {
      this.setFaults(PlatformFaults.parse(await readBody(request)));
      reply(200, {});
      return;
    }
    if (this.#faults.delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.#faults.delayMs);
      });
    }
    if (this.#faults.down) {
      reply(503, { error: 'down' });
      return;
    }
    if (url.pathname === '/hosts') {
      if (request.method === 'PUT')
        this.setHosts(z.array(ListedHost).parse(await readBody(request)));
      reply(200, this.#hosts.read(Number(url.searchParams.get('since') ?? 0)));
      return;
    }
    if (url.pathname === '/reboots') {
      reply(200, this.#reboots);
      return;
    }
    const rebootHost = /^\/hosts\/([\w.-]+)\/reboot$/.exec(url.pathname)?.[1];
    if (rebootHost !== undefined && request.method === 'POST') {
      reply(this.#reboot(rebootHost, Number(url.searchParams.get('notAfter') ?? Infinity)), {});
      return;
    }
    const stream = /^\/streams\/([\w-]+)\/entries$/.exec(url.pathname)?.[1];
    if (stream === undefined) reply(404, { error: `no such path: ${url.pathname}` });
    else if (request.method === 'POST') await this.#append(stream, request, response, reply);
    else await this.#read(stream, url, reply);
  }

  /** Starts a reboot unless the deadline `notAfter` has passed; returns the response status. */
  #reboot(host: string, notAfter: number): number {
    if (Date.now() > notAfter) return 412;
    if (!this.#hosts.has(host) && !this.#rebooting.has(host)) return 404;
    this.startReboot(host);
    return 202;
  }

  async #append(
    stream: string,
    request: IncomingMessage,
    response: ServerResponse,
    reply: (status: number, body: unknown) => void,
  ): Promise<void> {
    const { values } = AppendCall.parse(await readBody(request));
    const append = (): number => this.#openStream(stream).append(values, Date.now());
    const { heldText } = this.#faults;
    if (heldText !== '' && values.some((value) => value.includes(heldText))) {
      this.#heldAppends.push(append);
      reply(503, { error: 'held' });
      return;
    }
    if (this.#faults.lateAppends > 0) {
      this.#faults.lateAppends -= 1;
      setTimeout(append, this.#faults.lateMs).unref();
      reply(503, { error: 'late' });
      return;
    }
    if (this.#faults.refuseAppends) {
      reply(503, { error: 'no appends' });
      return;
    }
    const firstOffset = append();
    if (this.#faults.loseAnswers > 0) {
      this.#faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    reply(200, { firstOffset });
  }

  async #read(
    stream: string,
    url: URL,
    reply: (status: number, body: unknown) => void,
  ): Promise<void> {
    const log = this.#openStream(stream);
    const from = Number(url.searchParams.get('from') ?? 0);
    await log.wait(from, Number(url.searchParams.get('waitMs') ?? 0));
    const entries = log.read(from, Number(url.searchParams.get('max') ?? 100));
    if (entries === undefined) reply(410, { earliest: log.earliest });
    else reply(200, { entries, head: log.head });
  }

  #openStream(name: string): PlatformLog {
    const log = this.#streams.get(name) ?? new PlatformLog(this.#retentionMs);
    this.#streams.set(name, log);
    return log;
  }
}
