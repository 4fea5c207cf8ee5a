import type { ListedHost } from '../host/mod.js';

/** The platform's list of live and leaving hosts. */
export abstract class HostListClient {
  /**
   * Fetches the list as the platform has it now; the same array while nothing has changed.
   *
   * @throws When the platform does not answer.
   */
  abstract fetch(): Promise<ListedHost[]>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
