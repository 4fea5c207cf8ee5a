import type { Gauge, MetricsReport } from './MetricsReport.js';

/** Exported quantiles: label and report field. */
const PERCENTILES = [
  ['0.5', 'p50'],
  ['0.9', 'p90'],
  ['0.99', 'p99'],
] as const;

function formatName(name: string): string {
  return name.replace(/[^a-zA-Z0-9]/g, '_');
}

/** Formats a gauge; quotes, backslashes and line breaks in label values are escaped. */
function formatGauge({ name, value, labels }: Gauge): string {
  const pairs = Object.entries(labels).map(
    ([label, text]) => `${formatName(label)}=${JSON.stringify(text)}`,
  );
  const text = value === Infinity ? '+Inf' : String(value);
  const suffix = pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
  return `buckthornreach_${formatName(name)}${suffix} ${text}`;
}

/**
 * Formats a report in the Prometheus text format, without metadata lines. Latencies are in ms.
 *
 * @example
 * ```ts
 * formatMetrics({ latencies: {}, counters: { refused: 1 } }); // 'buckthornreach_refused_total 1\n'
 * ```
 */
export function formatMetrics({ latencies, counters, gauges = [] }: MetricsReport): string {
  const lines: string[] = [];
  Object.entries(counters).forEach(([name, value]) => {
    lines.push(`buckthornreach_${formatName(name)}_total ${value}`);
  });
  gauges.forEach((gauge) => lines.push(formatGauge(gauge)));
  Object.entries(latencies).forEach(([name, report]) => {
    const metric = `buckthornreach_${formatName(name)}_ms`;
    PERCENTILES.forEach(([label, key]) => {
      lines.push(`${metric}{quantile="${label}"} ${report[key]}`);
    });
    lines.push(`${metric}_count ${report.count}`);
  });
  return `${lines.join('\n')}\n`;
}
