import { DEMO_SCENARIOS, runDemo } from '../demo/mod.js';
import {
  Command,
  EXIT_FAILURE,
  EXIT_OK,
  type CommandContext,
  type CommandOption,
} from './Command.js';
import { UsageError } from './UsageError.js';

const SCENARIO_NAMES = DEMO_SCENARIOS.map(({ name }) => name).join(', ');

/** Runs a demo scenario. */
export class DemoCommand extends Command {
  override readonly usage = 'demo';

  override readonly summary =
    'Run a small fleet in this process for under 20 s; fails if a claim of the scenario is not true';

  override readonly examples = ['demo', 'demo --scenario maintenance'];

  override readonly options: readonly CommandOption[] = [
    { name: 'scenario', summary: `Scenario to run: ${SCENARIO_NAMES}` },
  ];

  override async run({ options, output }: CommandContext): Promise<number> {
    const name = options.scenario ?? DEMO_SCENARIOS[0]?.name;
    const scenario = DEMO_SCENARIOS.find((one) => one.name === name);
    if (scenario === undefined) {
      throw new UsageError(`--scenario: expected one of ${SCENARIO_NAMES}, got "${String(name)}"`);
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
