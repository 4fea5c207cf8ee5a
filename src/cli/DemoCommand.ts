import { DEMO_SCENARIOS, runDemo } from '../demo/mod.js';
import { Command, EXIT_FAILURE, EXIT_OK, type CommandCall, type CommandOption } from './Command.js';
import { UsageError } from './UsageError.js';

const NAMES = DEMO_SCENARIOS.map(({ name }) => name).join(', ');

/** Runs the demo. */
export class DemoCommand extends Command {
  override readonly usage = 'demo';

  override readonly summary =
    'Run a small fleet in this process and show what it does; under 20 s, fails if it did not';

  override readonly examples = ['demo', 'demo --scenario maintenance'];

  override readonly options: readonly CommandOption[] = [
    { name: 'scenario', summary: `What to show: ${NAMES}` },
  ];

  override async run({ options, output }: CommandCall): Promise<number> {
    const name = options.scenario ?? DEMO_SCENARIOS[0]?.name;
    const scenario = DEMO_SCENARIOS.find((one) => one.name === name);
    if (scenario === undefined) {
      throw new UsageError(`--scenario: expected one of ${NAMES}, got "${String(name)}"`);
    }
    const lines: string[] = [];
    const isTrue = await runDemo(scenario, (line) => {
      if (output.isJson) lines.push(line);
      else output.print(line, () => line);
    });
    if (output.isJson) output.print({ scenario: scenario.name, isTrue, lines }, () => '');
    return isTrue ? EXIT_OK : EXIT_FAILURE;
  }
}
