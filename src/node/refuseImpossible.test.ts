import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { JobSpec } from '../task/mod.js';
import { refuseImpossible } from './refuseImpossible.js';

describe('refuseImpossible', () => {
  // Guards against a job that waits for ever, and a refusal that does not say what to change.
  it('names the step and the cap of a gang that can never start', () => {
    const cap = { cpuMilli: 4_000, memoryMb: 0, accelerators: 0 };
    const organisation = { name: 'acme', apiKeys: ['secret'], jobsPerS: 1, cap };
    const build = (count: number): JobSpec =>
      JobSpec.parse({
        payload: '',
        steps: [{ count: 1 }, { count, cpuMilli: 1_000, gang: true, after: [0] }],
      });
    assert.equal(refuseImpossible(build(5), { organisation, overshoot: 0.1 }), undefined);
    const refusal = refuseImpossible(build(6), { organisation, overshoot: 0.1 });
    assert.ok(refusal?.type === 'bad-request');
    const [finding] = refusal.findings;
    assert.equal(finding?.place.path, 'steps.1');
    assert.match(finding.message, /step 1 .*cap of organisation "acme" \(4000\)/);
  });
});
