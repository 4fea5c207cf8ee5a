import { DemoFleet } from './DemoFleet.js';
import { DemoContext, type LinePrinter } from './DemoContext.js';
import type { DemoScenario } from './DemoScenario.js';
import { FailureScenario } from './_FailureScenario.js';
import { JobsScenario } from './_JobsScenario.js';
import { MaintenanceScenario } from './_MaintenanceScenario.js';
import { RaceScenario } from './_RaceScenario.js';
import { TourScenario } from './_TourScenario.js';

/** Scenarios of the demo. The first one is the default. */
export const DEMO_SCENARIOS: readonly DemoScenario[] = [
  new TourScenario(),
  new MaintenanceScenario(),
  new FailureScenario(),
  new RaceScenario(),
  new JobsScenario(),
];

/**
 * Runs a scenario on a new fleet.
 *
 * @param print Called with the text to print.
 * @returns Whether all claims of the scenario were true and no message handler failed.
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
    const context = new DemoContext(fleet, print);
    await scenario.run(context);
    faults.forEach((fault) => print(`fault: ${fault}`));
    const isTrue = !context.hasFailed && faults.length === 0;
    print(
      isTrue ? '\nDone: all claims were true.' : '\nFailed: see the false claims and faults above.',
    );
    return isTrue;
  } finally {
    await fleet.close();
  }
}
