import { Pool } from 'undici';
import { z } from 'zod';
import type { ListedHost } from '../host/mod.js';
import { HostListClient } from './HostListClient.js';

const REQUEST_TIMEOUT_MS = 5_000;

const HostListResponse = z.object({
  /** Grows with each change of the list. */
  version: z.number().int(),
  /** Whether `hosts` is the whole list rather than what changed. */
  isWhole: z.boolean(),
  hosts: z.array(z.object({ host: z.string(), state: z.enum(['live', 'leaving']) })),
  removed: z.array(z.string()),
});

/**
 * The host list over HTTP: `GET /hosts?since=VERSION`. After the first answer only changes are
 * carried, since a whole list of 19,000 hosts is about 700 KB.
 */
export class HttpHostListClient extends HostListClient {
  readonly #pool: Pool;

  readonly #hosts = new Map<string, ListedHost>();

  #list: ListedHost[] = [];

  #version = 0;

  /** @param url Base URL of the platform. */
  constructor(url: string) {
    super();
    this.#pool = new Pool(url, { connections: 1 });
  }

  override async fetch(): Promise<ListedHost[]> {
    const { statusCode, body } = await this.#pool.request({
      method: 'GET',
      path: `/hosts?since=${this.#version}`,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await body.text();
    if (statusCode !== 200) throw new Error(`host list: status ${statusCode}`);
    const answer = HostListResponse.parse(JSON.parse(text));
    if (answer.isWhole) this.#hosts.clear();
    answer.hosts.forEach((listedHost) => this.#hosts.set(listedHost.host, listedHost));
    answer.removed.forEach((host) => this.#hosts.delete(host));
    if (answer.version !== this.#version) this.#list = [...this.#hosts.values()];
    this.#version = answer.version;
    return this.#list;
  }

  override close(): Promise<void> {
    return this.#pool.destroy();
  }
}
