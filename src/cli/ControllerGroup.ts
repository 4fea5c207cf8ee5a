import { TRPCClientError } from '@trpc/client';
import VError from 'verror';
import { createControllerClient, type ControllerClient } from '../controller/mod.js';

/** Whether a controller itself answered with the error, so that another one would do the same. */
function isControllerError(error: unknown): boolean {
  return error instanceof TRPCClientError && error.data !== undefined && error.data !== null;
}

/**
 * Controllers of one fleet, tried in turn until one answers.
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

  #currentIndex = 0;

  constructor(addresses: readonly string[]) {
    this.addresses = addresses;
    this.#clients = addresses.map((address) => createControllerClient(address));
  }

  /**
   * Calls the controller that answered last, then the others in turn until one answers.
   *
   * @throws `ControllerUnavailableError` with the failure of every address if none answers, or the
   * error that a controller answered with.
   */
  async query<T>(run: (client: ControllerClient) => Promise<T>): Promise<T> {
    const failures: string[] = [];
    while (failures.length < this.#clients.length) {
      try {
        return await this.queryCurrent(run);
      } catch (error) {
        if (isControllerError(error)) throw error;
        const address = this.addresses[this.#currentIndex % this.addresses.length];
        failures.push(`${address}: ${(error as Error).message}`);
        this.#currentIndex += 1;
      }
    }
    throw new VError(
      { name: 'ControllerUnavailableError' },
      '%s',
      ['no controller answers', ...failures].join('\n  '),
    );
  }

  /**
   * Calls the controller that answered last, without failover. Changes use this: if the answer is
   * lost, the change may have been accepted, and a retry would be reported as a conflict.
   */
  queryCurrent<T>(run: (client: ControllerClient) => Promise<T>): Promise<T> {
    return run(this.#clients[this.#currentIndex % this.#clients.length] as ControllerClient);
  }
}
