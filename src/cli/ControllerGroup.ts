import { TRPCClientError } from '@trpc/client';
import VError from 'verror';
import { createControllerClient, type ControllerClient } from '../controller/mod.js';

/** An answer with an error came from the controller itself; asking another would not help. */
function isAnswer(error: unknown): boolean {
  return error instanceof TRPCClientError && error.data !== undefined && error.data !== null;
}

/**
 * Several controllers of one fleet that are tried in turn.
 *
 * @example
 * ```ts
 * const group = new ControllerGroup(['10.0.0.4:7100', '10.0.1.4:7100']);
 * const summary = await group.query((client) => client.fleet.query());
 * ```
 */
export class ControllerGroup {
  readonly addresses: readonly string[];

  readonly #clients: ControllerClient[];

  #current = 0;

  constructor(addresses: readonly string[]) {
    this.addresses = addresses;
    this.#clients = addresses.map((address) => createControllerClient(address));
  }

  /**
   * Calls the controller that answered last, or the next ones while there is no answer.
   *
   * @throws An error that names every address when none answers.
   */
  async query<T>(run: (client: ControllerClient) => Promise<T>): Promise<T> {
    const failures: string[] = [];
    while (failures.length < this.#clients.length) {
      try {
        return await this.queryCurrent(run);
      } catch (error) {
        if (isAnswer(error)) throw error;
        const address = this.addresses[this.#current % this.addresses.length];
        failures.push(`${address}: ${(error as Error).message}`);
        this.#current += 1;
      }
    }
    throw new VError(
      { name: 'ControllerUnavailableError' },
      '%s',
      ['no controller answers', ...failures].join('\n  '),
    );
  }

  /**
   * Calls the controller that answered last, and no other one. A change goes through this: after a
   * lost answer it may have been accepted, and a second one would be reported as a conflict.
   */
  queryCurrent<T>(run: (client: ControllerClient) => Promise<T>): Promise<T> {
    return run(this.#clients[this.#current % this.#clients.length] as ControllerClient);
  }
}
