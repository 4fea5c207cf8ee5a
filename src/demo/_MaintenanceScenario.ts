import { BudgetMonitor } from './_BudgetMonitor.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoContext } from './DemoContext.js';

const MS_PER_DAY = 86_400_000;
/**
 * Time after which maintenance is due again. Wave names have a resolution of one minute, so that
 * the demo shows a single wave.
 */
const PERIOD_MS = 1_000;
const POOL = {
  name: 'match',
  need: 2,
  headroom: 2,
  availabilityBudget: 3,
  maintenance: { periodDays: PERIOD_MS / MS_PER_DAY },
};

/** A maintenance wave that reboots hosts within the availability budget. */
export class MaintenanceScenario extends DemoScenario {
  override readonly name = 'maintenance';

  override readonly summary = 'a maintenance wave that reboots every host within the budget';

  override async run(context: DemoContext): Promise<void> {
    const { fleet, print } = context;
    print(
      '2. Apply rules: "match" has 4 hosts, 3 of which may be unavailable, and all are due at once.',
    );
    await context.apply(fleet.buildDocument([POOL]));
    const [one] = fleet.hosts;
    const initial = await context.client.host.query({ name: one?.name ?? '' });
    const initialMaintainedAt = initial?.state.maintainedAt ?? Infinity;
    const monitor = new BudgetMonitor(context, POOL.name);
    const rebooted = new Set<string>();
    const maintained = new Set<string>();
    print('\n3. The controllers grant, drain and reboot hosts while the others serve.');
    await context.waitFor('every host of the pool was rebooted and is back', async () => {
      await monitor.update();
      (await monitor.listAway()).forEach((host) => rebooted.add(host));
      for (const host of rebooted) {
        const described = await context.client.host.query({ name: host });
        const { phase, maintainedAt = 0 } = described?.state ?? {};
        if (phase === 'serving' && maintainedAt > initialMaintainedAt) maintained.add(host);
      }
      return maintained.size === POOL.need + POOL.headroom;
    });
    await context.sendRequests();
    context.check(
      `at most ${monitor.maxUnavailable} hosts were away at once, within the budget of 3`,
      monitor.maxUnavailable <= POOL.availabilityBudget,
    );
    const [host = ''] = rebooted;
    print(`\n4. What led to the reboot of ${host}:`);
    context.explain({ kind: 'host', name: host });
  }
}
