import type { ControllerClient } from '../controller/mod.js';
import { compareDocument } from '../fleet/mod.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoContext } from './DemoContext.js';

const OPERATORS = ['nolwenn', 'erwan'];

function buildPools(need: number) {
  return [{ name: 'match', need, availabilityBudget: 1 }];
}

/** Two operators who change the same pool at the same time through different controllers. */
export class RaceScenario extends DemoScenario {
  override readonly name = 'race';

  override readonly summary = 'two operators who change the same pool at the same time';

  override async run(context: DemoContext): Promise<void> {
    const { fleet, print, clients } = context;
    print('2. Apply rules: "match" needs 2 hosts.');
    const { revision } = await context.apply(fleet.buildDocument(buildPools(2)));
    await context.waitFor('both controllers have the same revision', async () => {
      const seen = await Promise.all(clients.map((client) => client.fleet.query()));
      return seen.every((one) => one.revision === revision);
    });
    print('\n3. Both operators read that revision and set different needs at the same time.');
    const current = await context.client.snapshot.query();
    const answers = await Promise.all(
      OPERATORS.map((operator, index) => {
        const document = fleet.buildDocument(buildPools(3 + index));
        const operations = compareDocument(document, current);
        const client = clients[index] as ControllerClient;
        return client.change.mutate({ baseRevision: revision, operations, operator });
      }),
    );
    answers.forEach(({ verdict }, index) => {
      const reasons = verdict.outcome === 'rejected' ? verdict.reasons : [];
      print(`   ${OPERATORS[index]}: ${[verdict.outcome, ...reasons].join(': ')}`);
    });
    const rejectedIndex = answers.findIndex(({ verdict }) => verdict.outcome === 'rejected');
    const accepted = answers.filter(({ verdict }) => verdict.outcome === 'accepted');
    context.check('one change was accepted and the other rejected', accepted.length === 1);
    const acceptedRevision = accepted[0]?.revision;
    const reasons = answers.flatMap(({ verdict }) =>
      verdict.outcome === 'rejected' ? verdict.reasons : [],
    );
    context.check(
      'the rejection names both revisions',
      reasons.some((one) => one.includes(`${acceptedRevision}`) && one.includes(`${revision}`)),
    );
    print('\n4. The operator whose change was rejected reads the fleet and applies again.');
    const need = 3 + rejectedIndex;
    const last = await context.apply(fleet.buildDocument(buildPools(need)), clients[rejectedIndex]);
    await context.waitForServing('match', need);
    await context.waitFor('both controllers have the last revision in force', async () => {
      const { processes, behind, missing } = await context.client.rollout.query({
        revision: last.revision,
      });
      return processes.length >= 2 && behind.length === 0 && missing.length === 0;
    });
  }
}
