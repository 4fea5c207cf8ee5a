import type { ControllerClient } from '../controller/mod.js';
import { compareDocument } from '../fleet/mod.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoStage } from './DemoContext.js';

const OPERATORS = ['nolwenn', 'erwan'];

function buildPools(need: number) {
  return [{ name: 'match', need, availabilityBudget: 1 }];
}

/** Two operators who change one pool at the same time, each through another controller. */
export class RaceScenario extends DemoScenario {
  override readonly name = 'race';

  override readonly summary = 'two operators who change the same pool at the same time';

  override async run(stage: DemoStage): Promise<void> {
    const { fleet, print, clients } = stage;
    print('2. Load rules: "match" needs 2 hosts.');
    const { revision } = await stage.apply(fleet.buildDocument(buildPools(2)));
    await stage.waitFor('both controllers have the same revision', async () => {
      const seen = await Promise.all(clients.map((client) => client.fleet.query()));
      return seen.every((one) => one.revision === revision);
    });
    print('\n3. Both operators read that revision and set another need, at the same time.');
    const current = await stage.client.snapshot.query();
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
    const loser = answers.findIndex(({ verdict }) => verdict.outcome === 'rejected');
    const accepted = answers.filter(({ verdict }) => verdict.outcome === 'accepted');
    stage.check('one change was accepted and the other refused', accepted.length === 1);
    const won = accepted[0]?.revision;
    const reasons = answers.flatMap(({ verdict }) =>
      verdict.outcome === 'rejected' ? verdict.reasons : [],
    );
    stage.check(
      'the refusal names both revisions',
      reasons.some((one) => one.includes(`${won}`) && one.includes(`${revision}`)),
    );
    print('\n4. The one who was refused reads the fleet and applies again.');
    const need = 3 + loser;
    const last = await stage.apply(fleet.buildDocument(buildPools(need)), clients[loser]);
    await stage.waitForServing('match', need);
    await stage.waitFor('both controllers have the last revision in force', async () => {
      const { processes, behind, missing } = await stage.client.rollout.query({
        revision: last.revision,
      });
      return processes.length >= 2 && behind.length === 0 && missing.length === 0;
    });
  }
}
