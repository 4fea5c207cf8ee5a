import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SourceSelector } from './_SourceSelector.js';

describe('SourceSelector', () => {
  it('follows the preferred source alone while it is well', () => {
    const selector = new SourceSelector(3, () => 0);
    assert.deepEqual(selector.choose(0), [0]);
    selector.accept(0, 100, 0);
    assert.deepEqual(selector.choose(100), [0]);
    assert.deepEqual(selector.choose(3_000), []);
  });

  it('follows the next source as well when the preferred one hangs, and returns to it', () => {
    const selector = new SourceSelector(3, () => 0);
    selector.choose(0);
    selector.accept(0, 100, 0);
    selector.choose(100);
    assert.deepEqual(selector.choose(6_000), [1]);
    selector.accept(1, 6_100, 0);
    selector.accept(0, 7_000, 0);
    assert.deepEqual(selector.choose(7_000), [0]);
  });

  it('does not rely on a source whose own news of the platform is old', () => {
    const selector = new SourceSelector(2, () => 0);
    selector.choose(0);
    selector.accept(0, 100, 60_000);
    assert.deepEqual(selector.choose(100), [0, 1]);
  });

  it('leaves a source that answered nonsense alone for a minute', () => {
    const selector = new SourceSelector(2, () => 0);
    selector.choose(0);
    selector.refuse(0, 100);
    assert.deepEqual(selector.choose(50_000), [1]);
    assert.deepEqual(selector.choose(60_200), [0]);
  });

  it('takes up the preferred source again after the process was frozen for minutes', () => {
    const selector = new SourceSelector(2, () => 0);
    selector.choose(0);
    selector.accept(0, 100, 0);
    assert.deepEqual(selector.choose(300_000), [0, 1]);
    selector.accept(0, 300_100, 0);
    assert.equal(selector.isHealthy(0, 300_100), true);
  });
});
