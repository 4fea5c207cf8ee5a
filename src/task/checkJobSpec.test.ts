import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkJobSpec } from './checkJobSpec.js';

function listFindings(steps: readonly object[]): string[] {
  const result = checkJobSpec({ payload: '', steps });
  if (!('findings' in result)) return [];
  return result.findings.map(({ message, place }) => `${place?.path}: ${message}`);
}

describe('checkJobSpec', () => {
  // Guards against a job each of whose steps is within the limits, and which as a whole costs every
  // node more memory than it has.
  it('limits the tasks of all steps together', () => {
    const steps = Array.from({ length: 100 }, () => ({ count: 10_000 }));
    assert.deepEqual(listFindings(steps), []);
    assert.deepEqual(listFindings([...steps, { count: 1 }]), [
      'steps: 1000001 tasks, at most 1000000 are accepted',
    ]);
  });

  // Guards against a job some of whose long-running tasks never get a run.
  it('limits the long-running tasks of all steps together', () => {
    const steps = [10_000, 10_000].map((count) => ({ count, isLasting: true }));
    assert.deepEqual(listFindings([...steps, { count: 10_000 }]), []);
    assert.deepEqual(listFindings([...steps, { count: 1, isLasting: true }]), [
      'steps: 20001 long-running tasks, at most 20000 are accepted',
    ]);
  });
});
