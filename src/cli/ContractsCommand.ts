import { Command, EXIT_OK, type CommandContext } from './Command.js';
import { formatTime } from './formatTime.js';
import { renderTable } from './renderTable.js';

/** Shows whether the promises of each pool hold. */
export class ContractsCommand extends Command {
  override readonly usage = 'contracts';

  override readonly summary =
    'Show the promises of each pool with their margins in hosts, and late hosts with reasons';

  override readonly examples = ['contracts', 'contracts --json'];

  override async run({ controllers, output }: CommandContext): Promise<number> {
    const reports = await controllers.query((client) => client.contracts.query());
    const promises = reports.flatMap(({ pool, promises: results }) =>
      results.map(({ promise, holds, margin, reason }) => ({
        pool,
        promise,
        kept: holds,
        margin,
        reason,
      })),
    );
    const late = reports.flatMap(({ pool, late: hosts }) =>
      hosts.map(({ host, dueAt, reason }) => ({ pool, host, due: formatTime(dueAt), reason })),
    );
    const truncationNotes = reports
      .filter((report) => report.lateHosts > report.late.length)
      .map(({ pool, lateHosts, late: hosts }) => `${pool}: ${lateHosts - hosts.length} more late`);
    output.print(reports, () =>
      [
        renderTable(promises),
        ...(late.length === 0 ? [] : [`Late hosts:\n${renderTable(late)}`]),
        ...truncationNotes,
      ].join('\n'),
    );
    return EXIT_OK;
  }
}
