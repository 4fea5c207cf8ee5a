import type { AdmissionPolicy } from '../admission/mod.js';
import type { ClaimPolicy } from '../claim/mod.js';
import type { Clock } from '../clock/mod.js';
import type { JobForwarder } from '../link/mod.js';
import type { DispatcherLoad } from '../session/mod.js';

/** Dependencies shared by the actors of a gateway: the clock and the replaceable policies. */
export interface GatewayParts {
  clock: Clock;
  claims: ClaimPolicy;
  forwarder: JobForwarder;
  /** Creates the admission policy of a service. */
  createPolicy: () => AdmissionPolicy;
  /**
   * Receives the work in flight of a dispatcher, which session confirmations and drains depend on.
   */
  onLoad: (load: DispatcherLoad) => void;
}
