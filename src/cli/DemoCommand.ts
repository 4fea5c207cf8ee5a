import { runDemo } from '../demo/mod.js';
import { Command, EXIT_OK, type CommandCall } from './Command.js';

/** Runs the demo. */
export class DemoCommand extends Command {
  override readonly usage = 'demo';

  override readonly summary = 'Run a small fleet in this process and show what it does; under 20 s';

  override readonly examples = ['demo'];

  override async run({ output }: CommandCall): Promise<number> {
    const lines: string[] = [];
    await runDemo((line) => {
      if (output.isJson) lines.push(line);
      else output.print(line, () => line);
    });
    if (output.isJson) output.print(lines, () => '');
    return EXIT_OK;
  }
}
