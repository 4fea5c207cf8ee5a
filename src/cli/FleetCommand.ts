import { Command, EXIT_OK, type CommandContext } from './Command.js';
import { describeShortfalls } from './describeShortfalls.js';
import { renderTable } from './renderTable.js';

/** Shows the pools of the fleet. */
export class FleetCommand extends Command {
  override readonly usage = 'fleet';

  override readonly summary = 'Show the pools of the fleet and the hosts that they are short of';

  override readonly examples = ['fleet', 'fleet --json --controller 10.0.0.4:7100'];

  override async run({ controllers, output }: CommandContext): Promise<number> {
    const fleet = await controllers.query((client) => client.fleet.query());
    output.print(fleet, () => {
      const head = `revision ${fleet.revision}, ${fleet.hosts} hosts, ${fleet.unassigned} unassigned`;
      const table = renderTable(fleet.pools.map((pool) => ({ ...pool })));
      return `${head}\n${table}${describeShortfalls(fleet).join('\n')}`;
    });
    return EXIT_OK;
  }
}
