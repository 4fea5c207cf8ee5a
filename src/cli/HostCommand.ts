import type { HostDescription } from '../fleet/mod.js';
import { Command, EXIT_FAILURE, EXIT_OK, type CommandContext } from './Command.js';
import { describeHostLines } from './describeHostLines.js';

/** Shows the state of one host. */
export class HostCommand extends Command {
  override readonly usage = 'host <name>';

  override readonly summary =
    'Show what a host is doing and why, what it waits for, and whether it is late';

  override readonly examples = ['host rennes-1-r1-h1', 'host rennes-1-r1-h1 --json'];

  override readonly maxArguments = 1;

  override async run({ args, controllers, output }: CommandContext): Promise<number> {
    const name = args[0] as string;
    const report: HostDescription | null = await controllers.query((client) =>
      client.host.query({ name }),
    );
    if (report === null) {
      output.report(`no host "${name}" in the inventory`);
      return EXIT_FAILURE;
    }
    output.print(report, () => describeHostLines(report).join('\n'));
    return EXIT_OK;
  }
}
