import { DemoFleet } from './DemoFleet.js';
import { DemoStage, type LinePrinter } from './DemoContext.js';
import type { DemoScenario } from './DemoScenario.js';
import { FailureScenario } from './_FailureScenario.js';
import { JobsScenario } from './_JobsScenario.js';
import { MaintenanceScenario } from './_MaintenanceScenario.js';
import { RaceScenario } from './_RaceScenario.js';
import { TourScenario } from './_TourScenario.js';

/** The scenarios of the demo; the first is the default. */
export const DEMO_SCENARIOS: readonly DemoScenario[] = [
  new TourScenario(),
  new MaintenanceScenario(),
  new FailureScenario(),
  new RaceScenario(),
  new JobsScenario(),
];

/**
 * Runs a scenario on a small fleet of its own.
 *
 * @param print Receives each line of text.
 * @returns Whether everything that the scenario claims came true.
 * @example
 * ```ts
 * await runDemo(DEMO_SCENARIOS[0], (line) => process.stdout.write(`${line}\n`)); // true
 * ```
 */
export async function runDemo(scenario: DemoScenario, print: LinePrinter): Promise<boolean> {
  const fleet = new DemoFleet();
  try {
    await fleet.open();
    const { hosts, sites, faults } = fleet;
    print(`1. ${hosts.length} upstream hosts in ${sites.length} data centres are up:`);
    sites.forEach(({ dataCentre, controller, gateway }) =>
      print(`   ${dataCentre}: gateway ${gateway}, controller ${controller}`),
    );
    print('');
    const stage = new DemoStage(fleet, print);
    await scenario.run(stage);
    faults.forEach((fault) => print(`fault: ${fault}`));
    const isTrue = !stage.hasFailed && faults.length === 0;
    print(isTrue ? '\nDone: everything shown came true.' : '\nFailed: see above.');
    return isTrue;
  } finally {
    await fleet.close();
  }
}
