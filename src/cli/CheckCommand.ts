import { formatFinding } from '../finding/mod.js';
import { loadDocuments } from '../settings/mod.js';
import { Command, EXIT_OK, EXIT_USAGE, type CommandContext } from './Command.js';

/** Checks files and prints all findings. */
export class CheckCommand extends Command {
  override readonly usage = 'check <file>';

  override readonly summary = 'Check settings, inventory and rules files, also against each other';

  override readonly examples = [
    'check examples/voix-de-lande/inventory.jsonc examples/voix-de-lande/rules.jsonc',
    'check gateway.jsonc --json',
  ];

  override readonly maxArguments = Infinity;

  override async run({ args, output }: CommandContext): Promise<number> {
    const { findings } = loadDocuments(args);
    const errors = findings.filter((finding) => finding.severity === 'error').length;
    const summary = `${args.length} file(s): ${errors} error(s), ${findings.length - errors} warning(s)`;
    output.print({ files: args, findings }, () =>
      [...findings.map(formatFinding), summary].join('\n'),
    );
    return errors > 0 ? EXIT_USAGE : EXIT_OK;
  }
}
