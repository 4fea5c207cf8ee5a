/** What is done to a host in maintenance. */
export abstract class MaintenanceActions {
  /**
   * Asks for a reboot of a host; the host list shows when it is back.
   *
   * @param notAfter Wall-clock time in milliseconds after which the platform must refuse the call: a
   * process that was frozen with the call in its send queue writes it after the thaw.
   * @throws An error when the request was not accepted, or when it is not known.
   */
  abstract reboot(host: string, notAfter: number): Promise<void>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
