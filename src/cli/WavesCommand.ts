import { Command, EXIT_OK, type CommandCall } from './Command.js';

/** Shows the maintenance waves in progress. */
export class WavesCommand extends Command {
  override readonly usage = 'waves';

  override readonly summary = 'Show the maintenance waves in progress';

  override readonly examples = ['waves'];

  override async run({ controllers, output }: CommandCall): Promise<number> {
    const waves = await controllers.query((client) => client.waves.query());
    output.printRows(
      waves,
      waves.map(({ wave, granted, maintenance }) => ({
        wave,
        granted: granted.join(' '),
        maintenance: maintenance.join(' '),
      })),
    );
    return EXIT_OK;
  }
}
