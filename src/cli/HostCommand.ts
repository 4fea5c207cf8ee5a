import { Command, EXIT_FAILURE, EXIT_OK, type CommandCall } from './Command.js';

function formatTime(ms: number | undefined): string | undefined {
  return ms === undefined ? undefined : new Date(ms).toISOString();
}

/** Shows one host. */
export class HostCommand extends Command {
  override readonly usage = 'host <name>';

  override readonly summary = 'Show a host: where it stands, its pool and its state';

  override readonly examples = ['host rennes-1-r1-h1'];

  override readonly maxArguments = 1;

  override async run({ args, controllers, output }: CommandCall): Promise<number> {
    const name = args[0] as string;
    const report = await controllers.query((client) => client.host.query({ name }));
    if (report === null) {
      output.report(`no host "${name}" in the inventory`);
      return EXIT_FAILURE;
    }
    const { host, state } = report;
    output.printRows(report, [
      {
        host: host.name,
        dataCentre: host.dataCentre,
        rack: host.rack,
        address: host.address,
        status: state.status,
        phase: state.phase,
        pool: state.pool,
        toPool: state.toPool,
        phaseSince: formatTime(state.phaseSince),
        maintained: formatTime(state.maintainedAt),
        due: formatTime(report.dueAt),
        waitsFor: report.waitsFor.join(' '),
        late: report.lateReason,
      },
    ]);
    return EXIT_OK;
  }
}
