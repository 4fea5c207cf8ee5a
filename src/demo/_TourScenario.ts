import { DemoScenario } from './DemoScenario.js';
import type { DemoContext } from './DemoContext.js';

function buildPools(need: number) {
  return [
    { name: 'match', need, availabilityBudget: 1 },
    { name: 'contracts', need: 1, availabilityBudget: 1, lends: true },
  ];
}

/** Requests, a rule change and the failure of one host. */
export class TourScenario extends DemoScenario {
  override readonly name = 'tour';

  override readonly summary = 'requests, a rule change, and an upstream that is killed';

  override async run(context: DemoContext): Promise<void> {
    const { fleet, print } = context;
    print('2. Apply an inventory and rules: "match" needs 4 hosts, "contracts" needs 1.');
    await context.apply(fleet.buildDocument(buildPools(4)));
    await context.waitForServing('match', 4);
    print('\n3. Callers send requests to both gateways.');
    const replies = await context.sendRequests();
    print('\n4. The rules change: "match" needs 5 hosts, so one more host moves to it.');
    await context.apply(fleet.buildDocument(buildPools(5)));
    await context.waitForServing('match', 5);
    const host = replies.findLast((reply) => reply.host !== '-')?.host ?? '';
    print(`\n5. The upstream of ${host} is killed while requests continue.`);
    await fleet.stopUpstreams([host]);
    await context.sendRequests();
    await context.report([host], 'failed');
    print('\n6. The host is reported as failed. Its explanation from the timeline:');
    context.explain({ kind: 'host', name: host });
    const failed = fleet
      .listTimelines()
      .flat()
      .find((event) => event.type === 'request.failed' && event.host === host);
    if (failed?.request === undefined) return;
    print('\n7. The explanation of a request that failed on it:');
    context.explain({ kind: 'request', name: failed.request });
  }
}
