import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SourceSelector } from './_SourceSelector.js';

describe('SourceSelector', () => {
  it('polls only the preferred source while it is healthy', () => {
    const selector = new SourceSelector(3, () => 0);
    assert.deepEqual(selector.choose(0), [0]);
    selector.recordAnswer(0, 100, 0);
    assert.deepEqual(selector.choose(100), [0]);
    assert.deepEqual(selector.choose(3_000), []);
  });

  it('polls the next source as well while the preferred one hangs, and then returns to it', () => {
    const selector = new SourceSelector(3, () => 0);
    selector.choose(0);
    selector.recordAnswer(0, 100, 0);
    selector.choose(100);
    assert.deepEqual(selector.choose(6_000), [1]);
    selector.recordAnswer(1, 6_100, 0);
    selector.recordAnswer(0, 7_000, 0);
    assert.deepEqual(selector.choose(7_000), [0]);
  });

  it('does not rely on a source without recent contact with the platform', () => {
    const selector = new SourceSelector(2, () => 0);
    selector.choose(0);
    selector.recordAnswer(0, 100, 60_000);
    assert.deepEqual(selector.choose(100), [0, 1]);
  });

  it('does not poll a source that sent invalid data for a minute', () => {
    const selector = new SourceSelector(2, () => 0);
    selector.choose(0);
    selector.suspend(0, 100);
    assert.deepEqual(selector.choose(50_000), [1]);
    assert.deepEqual(selector.choose(60_200), [0]);
  });

  it('polls the preferred source again after the process was suspended for minutes', () => {
    const selector = new SourceSelector(2, () => 0);
    selector.choose(0);
    selector.recordAnswer(0, 100, 0);
    assert.deepEqual(selector.choose(300_000), [0, 1]);
    selector.recordAnswer(0, 300_100, 0);
    assert.equal(selector.isHealthy(0, 300_100), true);
  });
});
