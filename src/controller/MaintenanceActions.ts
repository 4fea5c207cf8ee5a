/** Actions on hosts in maintenance. */
export abstract class MaintenanceActions {
  /**
   * Requests a reboot of a host. The host list shows when the host is live again.
   *
   * @param notAfter Wall-clock time in milliseconds after which the platform must refuse the
   * request: a process that was suspended with the request in its send queue sends it when it
   * resumes.
   * @throws If the request was not accepted, or if this is unknown.
   */
  abstract reboot(host: string, notAfter: number): Promise<void>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
