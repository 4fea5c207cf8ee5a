import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isStandby } from './isStandby.js';

describe('isStandby', () => {
  // Guards against a cost that grows with the number of nodes: with 97 nodes that all read the log
  // 12 times a second, reading took most of their processor time.
  it('chooses as many nodes of 97 as of 8', () => {
    [8, 97].forEach((count) => {
      const nodes = Array.from({ length: count }, (_, index) => ({
        name: `n-${index}`,
        cores: 0.3 + (index % 5) / 4,
      }));
      const chosen = nodes.filter((node) => isStandby(node, nodes));
      assert.equal(chosen.length, 8);
    });
  });

  it('prefers nodes with more processor time', () => {
    const slow = Array.from({ length: 20 }, (_, index) => ({ name: `a-${index}`, cores: 0.3 }));
    assert.ok(isStandby({ name: 'z', cores: 1 }, slow));
    const fast = slow.map(({ name }) => ({ name, cores: 2 }));
    assert.ok(!isStandby({ name: 'a', cores: 1 }, fast));
  });
});
