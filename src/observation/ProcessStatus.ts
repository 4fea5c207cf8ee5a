import { z } from 'zod';
import { FleetEvent } from '../timeline/mod.js';
import { MetricsReport, ProcessGauges } from '../metrics/mod.js';

/** Which state of the fleet a process runs; the answer of `GET /-/status`. */
export const ProcessStatus = z.object({
  process: z.string(),
  role: z.enum(['gateway', 'controller']),
  dataCentre: z.string(),
  /** Offset of the next record that the process folds. */
  nextOffset: z.number().int(),
  /** Configuration revision in force. */
  revision: z.number().int(),
});
export type ProcessStatus = z.infer<typeof ProcessStatus>;

/** The answer of `GET /-/metrics`. */
export const ProcessMetrics = MetricsReport.extend({
  process: z.string(),
  gauges: ProcessGauges,
});
export type ProcessMetrics = z.infer<typeof ProcessMetrics>;

/** The answer of `GET /-/timeline`. */
export const ProcessTimeline = z.object({ process: z.string(), events: z.array(FleetEvent) });
export type ProcessTimeline = z.infer<typeof ProcessTimeline>;
