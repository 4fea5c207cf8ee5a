import type { AdmissionPolicy } from '../admission/mod.js';
import type { ClaimPolicy } from '../claim/mod.js';
import type { Clock } from '../clock/mod.js';
import type { JobForwarder } from '../link/mod.js';
import type { DispatcherLoad } from '../session/mod.js';

/** What the actors of a gateway share: the clock and the policies that vary. */
export interface GatewayParts {
  clock: Clock;
  claims: ClaimPolicy;
  forwarder: JobForwarder;
  /** Creates the admission policy of one service. */
  createPolicy: () => AdmissionPolicy;
  /** Takes what a dispatcher has in flight, for confirmations and drains. */
  onLoad: (load: DispatcherLoad) => void;
}
