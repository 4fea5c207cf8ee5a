import { BudgetWatch } from './_BudgetMonitor.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoStage } from './DemoContext.js';

const MS_PER_DAY = 86_400_000;
const POOL = {
  name: 'match',
  need: 2,
  headroom: 6,
  availabilityBudget: 4,
  maintenance: { periodDays: 1_000 / MS_PER_DAY },
};

/** A rack that fails in the middle of a maintenance wave. */
export class FailureScenario extends DemoScenario {
  override readonly name = 'failure';

  override readonly summary = 'a rack that fails in the middle of a maintenance wave';

  override async run(stage: DemoStage): Promise<void> {
    const { fleet, print } = stage;
    print('2. Load rules: "match" has all 8 hosts in racks of 2; 4 may be away, all are due.');
    await stage.apply(fleet.buildDocument([POOL]));
    const watch = new BudgetWatch(stage, POOL.name);
    let busy: string[] = [];
    await stage.waitFor('a wave has hosts away', async () => {
      await watch.update();
      busy = await watch.listAway();
      return busy.length > 0;
    });
    const away = fleet.hosts.filter(({ name }) => busy.includes(name));
    const isElsewhere = ({ dataCentre, rack }: { dataCentre: string; rack: string }): boolean =>
      !away.some((one) => one.dataCentre === dataCentre && one.rack === rack);
    const first = fleet.hosts.find(isElsewhere);
    const rack = fleet.hosts
      .filter((one) => one.dataCentre === first?.dataCentre && one.rack === first.rack)
      .map(({ name }) => name);
    print(`\n3. ${busy.join(' ')} under maintenance; now a rack fails: ${rack.join(' ')}.`);
    rack.forEach((name) => watch.lost.add(name));
    await fleet.stopUpstreams(rack);
    await stage.report(rack, 'failed');
    await stage.waitFor('the hosts under maintenance came back meanwhile', async () => {
      await watch.update();
      const states = await Promise.all(busy.map((name) => stage.client.host.query({ name })));
      return states.every((one) => one?.state.phase === 'serving' && one.state.status === 'live');
    });
    await stage.sendRequests();
    stage.check(
      `at most ${watch.mostUnavailable} hosts were unavailable at once, within the budget of 4`,
      watch.mostUnavailable <= POOL.availabilityBudget,
    );
    stage.check(
      `at least ${watch.leastServing} hosts served, not below the need of 2`,
      watch.leastServing >= POOL.need,
    );
    const [lost = ''] = rack;
    const described = await stage.client.host.query({ name: lost });
    print(`\n4. ${lost} ${described?.activity.doing}: ${described?.activity.because}`);
    stage.check('the lost host is known as failed', described?.state.status === 'failed');
    stage.explain({ kind: 'host', name: lost });
  }
}
