import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DemoScenario } from './DemoScenario.js';
import type { DemoContext } from './DemoContext.js';
import { runDemo } from './runDemo.js';

/** Makes a claim that is not true, then one that is true. */
class FailingScenario extends DemoScenario {
  override readonly name = 'false';

  override readonly summary = 'a claim that is not true';

  override async run(context: DemoContext): Promise<void> {
    context.check(
      'a host serves before any is configured',
      (await context.readPool('match')) !== undefined,
    );
    context.check('the fleet has controllers', context.clients.length === 2);
  }
}

/** Guards against a demo that reports success although one of its claims is not true. */
describe('runDemo', () => {
  it('returns false and prints the claim if one claim is not true', async () => {
    const lines: string[] = [];
    assert.equal(await runDemo(new FailingScenario(), (line) => lines.push(line)), false);
    assert.match(lines.join('\n'), /NOT TRUE: a host serves before .*\n +true: the fleet/);
  });
});
