import { BudgetWatch } from './_BudgetMonitor.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoStage } from './DemoContext.js';

const MS_PER_DAY = 86_400_000;
/** Hosts fall due after this time; a wave has a name by the minute, so there is one round. */
const PERIOD_MS = 1_000;
const POOL = {
  name: 'match',
  need: 2,
  headroom: 2,
  availabilityBudget: 3,
  maintenance: { periodDays: PERIOD_MS / MS_PER_DAY },
};

/** A maintenance wave with reboots within the budget. */
export class MaintenanceScenario extends DemoScenario {
  override readonly name = 'maintenance';

  override readonly summary = 'a maintenance wave that reboots every host within the budget';

  override async run(stage: DemoStage): Promise<void> {
    const { fleet, print } = stage;
    print('2. Load rules: "match" has 4 hosts, 3 of which may be away, and all are due at once.');
    await stage.apply(fleet.buildDocument([POOL]));
    const [one] = fleet.hosts;
    const joined = await stage.client.host.query({ name: one?.name ?? '' });
    const joinedAt = joined?.state.maintainedAt ?? Infinity;
    const watch = new BudgetWatch(stage, POOL.name);
    const rebooted = new Set<string>();
    const maintained = new Set<string>();
    print('\n3. The controllers grant, drain and reboot hosts; requests go on.');
    await stage.waitFor('every host of the pool was away and came back', async () => {
      await watch.update();
      (await watch.listAway()).forEach((host) => rebooted.add(host));
      for (const host of rebooted) {
        const described = await stage.client.host.query({ name: host });
        const { phase, maintainedAt = 0 } = described?.state ?? {};
        if (phase === 'serving' && maintainedAt > joinedAt) maintained.add(host);
      }
      return maintained.size === POOL.need + POOL.headroom;
    });
    await stage.sendRequests();
    stage.check(
      `at most ${watch.mostUnavailable} hosts were away at once, within the budget of 3`,
      watch.mostUnavailable <= POOL.availabilityBudget,
    );
    const [host = ''] = rebooted;
    print(`\n4. What led to the reboot of ${host}:`);
    stage.explain({ kind: 'host', name: host });
  }
}
