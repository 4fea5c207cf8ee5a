import { z } from 'zod';
import { FleetEvent } from '../timeline/mod.js';
import { MetricsReport, ProcessGauges } from '../metrics/mod.js';

/** Response of `GET /-/metrics`. */
export const ProcessMetrics = MetricsReport.extend({
  process: z.string(),
  gauges: ProcessGauges,
});
export type ProcessMetrics = z.infer<typeof ProcessMetrics>;

/** Response of `GET /-/timeline`. */
export const ProcessTimeline = z.object({ process: z.string(), events: z.array(FleetEvent) });
export type ProcessTimeline = z.infer<typeof ProcessTimeline>;
