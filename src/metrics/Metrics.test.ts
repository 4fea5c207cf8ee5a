import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { describe, it } from 'node:test';
import { request } from 'undici';
import { closeServer, openServer } from '../net/mod.js';
import { waitFor } from '../testing/mod.js';
import { Metrics } from './Metrics.js';
import { TrafficMeter } from './TrafficMeter.js';

/** Guards against percentiles in a wrong unit, and exceptions for values out of range. */
describe('Metrics', () => {
  it('exports percentiles in milliseconds within 1%', () => {
    const metrics = new Metrics();
    for (let ms = 1; ms <= 1_000; ms += 1) metrics.recordLatency('request', ms);
    const report = metrics.export().latencies.request;
    assert.equal(report?.count, 1_000);
    assert.ok(Math.abs((report?.p50 ?? 0) - 500) <= 5, `p50 is ${report?.p50}`);
    assert.ok(Math.abs((report?.p99 ?? 0) - 990) <= 10, `p99 is ${report?.p99}`);
  });

  it('clamps negative and very long durations to the histogram range', () => {
    const metrics = new Metrics();
    [-1, 1e12].forEach((ms) => metrics.recordLatency('request', ms));
    assert.equal(metrics.export().latencies.request?.count, 2);
  });
});

/**
 * Guards against traffic totals that miss open or already closed connections, which would
 * understate the control traffic in its budget.
 */
describe('TrafficMeter', () => {
  it('counts the bytes of both ends, before and after the connections close', async () => {
    const meter = new TrafficMeter();
    const server = createServer((_request, response) => response.end('x'.repeat(10_000)));
    const address = await openServer(server, '127.0.0.1:0');
    const answer = await request(`http://${address}/`, { method: 'POST', body: 'y'.repeat(5_000) });
    await answer.body.text();
    // Both ends are in this process, so every byte is counted once as sent and once as received.
    await waitFor('both directions', () => meter.read().bytesIn >= 15_000);
    await closeServer(server);
    await waitFor('the totals', () => meter.read().bytesOut >= 15_000);
    meter.close();
  });
});
