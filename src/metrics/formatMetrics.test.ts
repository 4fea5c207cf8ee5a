import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { formatMetrics } from './formatMetrics.js';
import { Metrics } from './Metrics.js';

describe('formatMetrics', () => {
  // Guards against lines that a reader of the text format rejects, and against outdated values.
  it('formats the newest value of a gauge with its labels', () => {
    const metrics = new Metrics();
    const labels = { organisation: 'a "b"' };
    metrics.setGauge({ name: 'cap_used', value: Infinity, labels });
    assert.equal(
      formatMetrics(metrics.export()),
      'buckthornreach_cap_used{organisation="a \\"b\\""} +Inf\n',
    );
    metrics.setGauge({ name: 'cap_used', value: 0.5, labels });
    assert.match(formatMetrics(metrics.export()), /^buckthornreach_cap_used\{.*\} 0\.5\n$/);
    metrics.setGauge({ name: 'open_requests', value: 2, labels: {} });
    metrics.removeGauges('organisation');
    assert.equal(formatMetrics(metrics.export()), 'buckthornreach_open_requests 2\n');
  });
});
