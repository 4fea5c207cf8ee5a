import type { Configuration, QueueConfig } from '../port/mod.js';

/** A queue and the rest of the path after its prefix. */
export interface QueueMatch {
  queue: QueueConfig;
  rest: string;
}

/**
 * Maps calls to queues by host name and longest matching path prefix.
 *
 * @example
 * ```ts
 * new QueueTable(configuration).find('a.example', '/renders/5c0e')?.rest; // '5c0e'
 * ```
 */
export class QueueTable {
  /** Queues by host name, sorted by descending prefix length. */
  readonly #queuesByHost = new Map<string, QueueConfig[]>();

  constructor({ queues }: Configuration) {
    queues.forEach((queue) => {
      const known = this.#queuesByHost.get(queue.hostName);
      if (known === undefined) this.#queuesByHost.set(queue.hostName, [queue]);
      else known.push(queue);
    });
    this.#queuesByHost.forEach((list) =>
      list.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length),
    );
  }

  /** Finds the queue of a call; undefined if no prefix matches. */
  find(hostName: string, path: string): QueueMatch | undefined {
    const name = hostName.replace(/:\d+$/, '').toLowerCase();
    const queue = this.#queuesByHost
      .get(name)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (queue === undefined) return undefined;
    return { queue, rest: path.slice(queue.pathPrefix.length) };
  }
}
