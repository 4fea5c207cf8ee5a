import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { NodeRecord } from '../workLog/mod.js';
import { ClaimRanking } from './ClaimRanking.js';

const NODES: [string, NodeRecord][] = [
  ['a', { cores: 0.5, dataCentre: 'dc-1' }],
  ['b', { cores: 1.35, dataCentre: 'dc-1' }],
  ['c', { cores: 1.35, dataCentre: 'dc-2' }],
  ['d', { cores: 1.35, dataCentre: 'dc-1' }],
].map(([name, node]) => [
  String(name),
  NodeRecord.parse({ session: `s-${String(name)}`, address: '', ...Object(node) }),
]);

describe('ClaimRanking', () => {
  it('ranks faster nodes first and the owner last', () => {
    const ranking = new ClaimRanking({ nodes: NODES, owner: 'b' });
    const ranks = NODES.map(([name, { cores }]) => ranking.computeRank(name, cores ?? 0));
    assert.deepEqual(ranks, [2, 3, 0, 1]);
  });

  it('prefers another data centre among equally fast successors and never names the owner', () => {
    const successors = new ClaimRanking({ nodes: NODES, owner: 'd' }).listSuccessors('dc-1');
    assert.deepEqual(
      successors.map(({ node }) => node),
      ['c', 'b', 'a'],
    );
  });

  it('spreads the claims by the latency of the store within a bound', () => {
    assert.equal(ClaimRanking.computeDelay(0, 240), 0);
    assert.equal(ClaimRanking.computeDelay(1, 4), 60);
    assert.equal(ClaimRanking.computeDelay(1, 240), 720);
    assert.equal(ClaimRanking.computeDelay(43, 2_000), 5_000);
  });

  // Guards against a successor that reads the release only after 400 ms, since it is no standby.
  it('prefers another data centre only among the nodes that read the log closely', () => {
    const nodes = Array.from({ length: 12 }, (_, index): [string, NodeRecord] => {
      const name = `n-${String(index).padStart(2, '0')}`;
      const dataCentre = index === 6 || index > 8 ? 'dc-2' : 'dc-1';
      return [name, NodeRecord.parse({ session: name, address: '', cores: 1, dataCentre })];
    });
    const successors = new ClaimRanking({ nodes, owner: 'n-00' }).listSuccessors('dc-1');
    assert.deepEqual(
      successors.map(({ node }) => Number(node.slice(2))),
      [6, 1, 2, 3, 4, 5, 7, 8, 9, 10, 11],
    );
  });
});
