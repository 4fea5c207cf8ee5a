import { collectObservations, ProcessMetrics } from '../observation/mod.js';
import { EXIT_OK, type CommandCall } from './Command.js';
import { ProcessCommand } from './ProcessCommand.js';
import { renderTable } from './renderTable.js';

const BYTES_PER_MB = 1e6;
const PERCENT = 100;

function formatNumber(value: number, digits = 2): string {
  return value.toFixed(digits);
}

function listGauges({ process, gauges }: ProcessMetrics) {
  return {
    process,
    'cpu%': formatNumber(gauges.cpuShare * PERCENT),
    'memory MB': formatNumber(gauges.residentBytes / BYTES_PER_MB, 0),
    'loop p99 ms': formatNumber(gauges.eventLoopDelayP99Ms, 1),
    'bytes in': gauges.bytesIn,
    'bytes out': gauges.bytesOut,
  };
}

function listLatencies({ process, latencies }: ProcessMetrics) {
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

  override readonly summary = 'Show what each process spends, and its latencies';

  override readonly examples = ['metrics', 'metrics --json'];

  override async run(call: CommandCall): Promise<number> {
    const addresses = await ProcessCommand.listAddresses(call);
    const what = { path: 'metrics', schema: ProcessMetrics } as const;
    const reports = ProcessCommand.reportMissing(call, await collectObservations(addresses, what));
    call.output.print(reports, () => {
      const latencies = reports.flatMap(listLatencies);
      const counters = reports.flatMap(({ process, counters: values }) =>
        Object.entries(values).map(([counter, count]) => ({ process, counter, count })),
      );
      return [reports.map(listGauges), latencies, counters].map(renderTable).join('\n');
    });
    return EXIT_OK;
  }
}
