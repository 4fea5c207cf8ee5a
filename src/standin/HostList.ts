import { z } from 'zod';

/** An entry of the platform's host list. */
export const ListedHost = z.object({ host: z.string(), state: z.enum(['live', 'leaving']) });
export type ListedHost = z.infer<typeof ListedHost>;

/** Versioned host list of the platform, which lets readers request only changes. */
export class HostList {
  readonly #hosts = new Map<string, ListedHost & { version: number }>();

  readonly #removed = new Map<string, number>();

  #version = 1;

  /** Replaces the whole list. */
  replace(hosts: ListedHost[]): void {
    this.#version += 1;
    const version = this.#version;
    const listed = new Set(hosts.map((entry) => entry.host));
    [...this.#hosts.keys()].forEach((host) => {
      if (listed.has(host)) return;
      this.#hosts.delete(host);
      this.#removed.set(host, version);
    });
    hosts.forEach(({ host, state }) => {
      this.#removed.delete(host);
      if (this.#hosts.get(host)?.state !== state) this.#hosts.set(host, { host, state, version });
    });
  }

  /** Checks whether a host is in the list. */
  has(host: string): boolean {
    return this.#hosts.has(host);
  }

  /** Adds or updates one host. */
  put(host: ListedHost): void {
    this.#version += 1;
    this.#removed.delete(host.host);
    this.#hosts.set(host.host, { ...host, version: this.#version });
  }

  /** Removes one host. */
  remove(host: string): void {
    if (!this.#hosts.delete(host)) return;
    this.#version += 1;
    this.#removed.set(host, this.#version);
  }

  /** Reads the changes since a version; version 0 returns the whole list. */
  read(since: number) {
    const hosts = [...this.#hosts.values()]
      .filter((entry) => entry.version > since)
      .map(({ host, state }) => ({ host, state }));
    const removed = [...this.#removed].filter(([, at]) => at > since).map(([host]) => host);
    return { version: this.#version, isWhole: since === 0, hosts, removed };
  }
}
