import { BudgetMonitor } from './_BudgetMonitor.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoContext } from './DemoContext.js';

const MS_PER_DAY = 86_400_000;
const POOL = {
  name: 'match',
  need: 2,
  headroom: 6,
  availabilityBudget: 4,
  maintenance: { periodDays: 1_000 / MS_PER_DAY },
};

/** The failure of a rack during a maintenance wave. */
export class FailureScenario extends DemoScenario {
  override readonly name = 'failure';

  override readonly summary = 'a rack that fails during a maintenance wave';

  override async run(context: DemoContext): Promise<void> {
    const { fleet, print } = context;
    print(
      '2. Apply rules: "match" has all 8 hosts in racks of 2; 4 may be unavailable, all are due.',
    );
    await context.apply(fleet.buildDocument([POOL]));
    const monitor = new BudgetMonitor(context, POOL.name);
    let awayNames: string[] = [];
    await context.waitFor('a wave has hosts away', async () => {
      await monitor.update();
      awayNames = await monitor.listAway();
      return awayNames.length > 0;
    });
    const away = fleet.hosts.filter(({ name }) => awayNames.includes(name));
    const isInOtherRack = ({ dataCentre, rack }: { dataCentre: string; rack: string }): boolean =>
      !away.some((one) => one.dataCentre === dataCentre && one.rack === rack);
    const first = fleet.hosts.find(isInOtherRack);
    const rack = fleet.hosts
      .filter((one) => one.dataCentre === first?.dataCentre && one.rack === first.rack)
      .map(({ name }) => name);
    print(`\n3. ${awayNames.join(' ')} under maintenance; now a rack fails: ${rack.join(' ')}.`);
    rack.forEach((name) => monitor.lost.add(name));
    await fleet.stopUpstreams(rack);
    await context.report(rack, 'failed');
    await context.waitFor('the hosts under maintenance are back in service', async () => {
      await monitor.update();
      const states = await Promise.all(
        awayNames.map((name) => context.client.host.query({ name })),
      );
      return states.every((one) => one?.state.phase === 'serving' && one.state.status === 'live');
    });
    await context.sendRequests();
    context.check(
      `at most ${monitor.maxUnavailable} hosts were unavailable at once, within the budget of 4`,
      monitor.maxUnavailable <= POOL.availabilityBudget,
    );
    context.check(
      `at least ${monitor.minServing} hosts served, not below the need of 2`,
      monitor.minServing >= POOL.need,
    );
    const [lost = ''] = rack;
    const described = await context.client.host.query({ name: lost });
    print(`\n4. ${lost} ${described?.activity.doing}: ${described?.activity.because}`);
    context.check('the lost host is marked as failed', described?.state.status === 'failed');
    context.explain({ kind: 'host', name: lost });
  }
}
