import { DemoScenario } from './DemoScenario.js';
import type { DemoStage } from './DemoContext.js';

function buildPools(need: number) {
  return [
    { name: 'match', need, availabilityBudget: 1 },
    { name: 'contracts', need: 1, availabilityBudget: 1, lends: true },
  ];
}

/** Requests, a change of the rules and the failure of one host. */
export class TourScenario extends DemoScenario {
  override readonly name = 'tour';

  override readonly summary = 'requests, a change of the rules, and an upstream that is killed';

  override async run(stage: DemoStage): Promise<void> {
    const { fleet, print } = stage;
    print('2. Load an inventory and rules: "match" needs 4 hosts, "contracts" needs 1.');
    await stage.apply(fleet.buildDocument(buildPools(4)));
    await stage.waitForServing('match', 4);
    print('\n3. Callers send requests to both gateways.');
    const replies = await stage.sendRequests();
    print('\n4. The rules change: "match" needs 5 hosts, so one more host moves to it.');
    await stage.apply(fleet.buildDocument(buildPools(5)));
    await stage.waitForServing('match', 5);
    const host = replies.findLast((reply) => reply.host !== '-')?.host ?? '';
    print(`\n5. The upstream of ${host} is killed; requests go on.`);
    await fleet.stopUpstreams([host]);
    await stage.sendRequests();
    await stage.report([host], 'failed');
    print('\n6. The host is reported as failed. What the time line explains of it:');
    stage.explain({ kind: 'host', name: host });
    const failed = fleet
      .listTimelines()
      .flat()
      .find((event) => event.type === 'request.failed' && event.host === host);
    if (failed?.request === undefined) return;
    print('\n7. And of a request that met it:');
    stage.explain({ kind: 'request', name: failed.request });
  }
}
