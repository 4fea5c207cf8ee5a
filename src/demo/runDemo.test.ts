import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DemoScenario } from './DemoScenario.js';
import type { DemoStage } from './DemoContext.js';
import { runDemo } from './runDemo.js';

/** Makes a claim that does not hold and one that does after it. */
class FalseScenario extends DemoScenario {
  override readonly name = 'false';

  override readonly summary = 'a claim that does not come true';

  override async run(stage: DemoStage): Promise<void> {
    stage.check(
      'a host serves before any is configured',
      (await stage.readPool('match')) !== undefined,
    );
    stage.check('the fleet has controllers', stage.clients.length === 2);
  }
}

/** Guards against a demo that ends as a success although what it shows did not happen. */
describe('runDemo', () => {
  it('is false when one claim did not come true, and names it', async () => {
    const lines: string[] = [];
    assert.equal(await runDemo(new FalseScenario(), (line) => lines.push(line)), false);
    assert.match(lines.join('\n'), /NOT TRUE: a host serves before .*\n +true: the fleet/);
  });
});
