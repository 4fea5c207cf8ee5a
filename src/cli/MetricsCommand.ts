import { collectObservations, ProcessMetrics } from '../observation/mod.js';
import { EXIT_OK, type CommandContext } from './Command.js';
import { ProcessCommand } from './ProcessCommand.js';
import { renderTable } from './renderTable.js';

const BYTES_PER_MB = 1e6;
const PERCENT = 100;

function formatNumber(value: number, digits = 2): string {
  return value.toFixed(digits);
}

function buildGaugeRow({ process, gauges }: ProcessMetrics) {
  return {
    process,
    'cpu%': formatNumber(gauges.cpuShare * PERCENT),
    'memory MB': formatNumber(gauges.residentBytes / BYTES_PER_MB, 0),
    'loop p99 ms': formatNumber(gauges.eventLoopDelayP99Ms, 1),
    'bytes in': gauges.bytesIn,
    'bytes out': gauges.bytesOut,
  };
}

function listLatencyRows({ process, latencies }: ProcessMetrics) {
  return Object.entries(latencies).map(([name, one]) => ({
    process,
    latency: name,
    count: one.count,
    'p50 ms': formatNumber(one.p50),
    'p99 ms': formatNumber(one.p99),
    'max ms': formatNumber(one.max),
  }));
}

/** Shows the metrics of all processes. */
export class MetricsCommand extends ProcessCommand {
  override readonly usage = 'metrics';

  override readonly summary = 'Show the resource usage, latencies and counters of each process';

  override readonly examples = ['metrics', 'metrics --json'];

  override async run(context: CommandContext): Promise<number> {
    const addresses = await ProcessCommand.listAddresses(context);
    const endpoint = { path: 'metrics', schema: ProcessMetrics } as const;
    const reports = ProcessCommand.reportUnreachable(
      context,
      await collectObservations(addresses, endpoint),
    );
    context.output.print(reports, () => {
      const latencies = reports.flatMap(listLatencyRows);
      const counters = reports.flatMap(({ process, counters: values }) =>
        Object.entries(values).map(([counter, count]) => ({ process, counter, count })),
      );
      return [reports.map(buildGaugeRow), latencies, counters].map(renderTable).join('\n');
    });
    return EXIT_OK;
  }
}
