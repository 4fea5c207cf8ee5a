import { Pool } from 'undici';
import VError from 'verror';
import { MaintenanceActions } from './MaintenanceActions.js';

const REBOOT_TIMEOUT_MS = 5_000;
const HTTP_ACCEPTED = 202;

/**
 * Reboots hosts through the platform with `POST /hosts/NAME/reboot?notAfter=MS`. The platform
 * responds with status 202, or with 412 if that time has passed.
 */
export class HttpMaintenanceActions extends MaintenanceActions {
  readonly #pool: Pool;

  /** @param url Base URL of the platform. */
  constructor(url: string) {
    super();
    this.#pool = new Pool(url, { connections: 2 });
  }

  override async reboot(host: string, notAfter: number): Promise<void> {
    const { statusCode, body } = await this.#pool.request({
      method: 'POST',
      path: `/hosts/${encodeURIComponent(host)}/reboot?notAfter=${notAfter}`,
      signal: AbortSignal.timeout(REBOOT_TIMEOUT_MS),
    });
    await body.dump();
    if (statusCode === HTTP_ACCEPTED) return;
    throw new VError(
      { name: 'RebootError', info: { host, statusCode } },
      'the platform answered the reboot request for host "%s" with status %d',
      host,
      statusCode,
    );
  }

  override close(): Promise<void> {
    return this.#pool.close();
  }
}
