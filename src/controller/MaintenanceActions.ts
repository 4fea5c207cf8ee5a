/** What is done to a host in maintenance. */
export abstract class MaintenanceActions {
  /**
   * Asks for a reboot of a host; the host list shows when it is back.
   *
   * @throws An error when the request was not accepted, or when it is not known.
   */
  abstract reboot(host: string): Promise<void>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
