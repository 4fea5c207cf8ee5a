import type { AdmissionPolicy } from '../admission/mod.js';
import type { ClaimPolicy } from '../claim/mod.js';
import type { Clock } from '../clock/mod.js';
import type { JobForwarder } from '../link/mod.js';
import type { Metrics } from '../metrics/mod.js';
import type { Timeline } from '../timeline/mod.js';

/** What the actors of a gateway share: policies that vary, and where they report. */
export interface GatewayParts {
  clock: Clock;
  claims: ClaimPolicy;
  forwarder: JobForwarder;
  timeline: Timeline;
  metrics: Metrics;
  /** Creates the admission policy of one service. */
  createPolicy: () => AdmissionPolicy;
}
