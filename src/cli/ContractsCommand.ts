import { Command, EXIT_OK, type CommandCall } from './Command.js';

/** Shows the promises for each pool. */
export class ContractsCommand extends Command {
  override readonly usage = 'contracts';

  override readonly summary = 'Show the promises for each pool with their margins in hosts';

  override readonly examples = ['contracts', 'contracts --json'];

  override async run({ controllers, output }: CommandCall): Promise<number> {
    const reports = await controllers.query((client) => client.contracts.query());
    output.printRows(
      reports,
      reports.flatMap(({ pool, promises, lateHosts }) =>
        promises.map(({ promise, holds, margin, reason }) => ({
          pool,
          promise,
          kept: holds,
          margin,
          lateHosts,
          reason,
        })),
      ),
    );
    return EXIT_OK;
  }
}
