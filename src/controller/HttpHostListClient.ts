import { Pool } from 'undici';
import { z } from 'zod';
import type { ListedHost } from '../host/mod.js';
import { HostListClient } from './HostListClient.js';

const REQUEST_TIMEOUT_MS = 5_000;

const HostListResponse = z.object({
  /** Increases with each change of the list. */
  version: z.number().int(),
  /** Whether `hosts` is the complete list rather than the changes since the requested version. */
  isWhole: z.boolean(),
  hosts: z.array(z.object({ host: z.string(), state: z.enum(['live', 'leaving']) })),
  removed: z.array(z.string()),
});

/**
 * Host list client over HTTP, which requests `GET /hosts?since=VERSION`. After the first response
 * only changes are transferred, because a complete list of 19,000 hosts is about 700 KB.
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
    if (statusCode !== 200) throw new Error(`host list request failed with status ${statusCode}`);
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
