import type { ListedHost } from '../host/mod.js';

/** Client for the platform's list of live and leaving hosts. */
export abstract class HostListClient {
  /**
   * Fetches the current list; returns the same array for as long as the list is unchanged.
   *
   * @throws If the platform does not respond.
   */
  abstract fetch(): Promise<ListedHost[]>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
