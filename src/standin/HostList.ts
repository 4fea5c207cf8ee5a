import { z } from 'zod';

/** A host in the platform's list. */
export const ListedHost = z.object({ host: z.string(), state: z.enum(['live', 'leaving']) });
export type ListedHost = z.infer<typeof ListedHost>;

/** The platform's host list with a version, so that a reader can ask for changes only. */
export class HostList {
  readonly #hosts = new Map<string, ListedHost & { version: number }>();

  readonly #removed = new Map<string, number>();

  #version = 1;

  /** Replaces the list. */
  replace(hosts: ListedHost[]): void {
    this.#version += 1;
    const version = this.#version;
    const listed = new Set(hosts.map((one) => one.host));
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

  /** Whether a host is in the list. */
  has(host: string): boolean {
    return this.#hosts.has(host);
  }

  /** Puts one host into the list. */
  put(host: ListedHost): void {
    this.#version += 1;
    this.#removed.delete(host.host);
    this.#hosts.set(host.host, { ...host, version: this.#version });
  }

  /** Removes one host from the list. */
  remove(host: string): void {
    if (!this.#hosts.delete(host)) return;
    this.#version += 1;
    this.#removed.set(host, this.#version);
  }

  /** Reads what changed after a version; the whole list from version 0. */
  read(since: number) {
    const hosts = [...this.#hosts.values()]
      .filter((one) => one.version > since)
      .map(({ host, state }) => ({ host, state }));
    const removed = [...this.#removed].filter(([, at]) => at > since).map(([host]) => host);
    return { version: this.#version, isWhole: since === 0, hosts, removed };
  }
}
