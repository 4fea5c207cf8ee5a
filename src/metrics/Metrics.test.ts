import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { describe, it } from 'node:test';
import { request } from 'undici';
import { closeServer, openServer } from '../net/mod.js';
import { waitFor } from '../testing/mod.js';
import { Metrics } from './Metrics.js';
import { TrafficMeter } from './TrafficMeter.js';

/** Guards against percentiles in the wrong unit, and values outside the histogram that throw. */
describe('Metrics', () => {
  it('exports percentiles in milliseconds within 1%', () => {
    const metrics = new Metrics();
    for (let ms = 1; ms <= 1_000; ms += 1) metrics.recordLatency('request', ms);
    const report = metrics.export().latencies.request;
    assert.equal(report?.count, 1_000);
    assert.ok(Math.abs((report?.p50 ?? 0) - 500) <= 5, `p50 is ${report?.p50}`);
    assert.ok(Math.abs((report?.p99 ?? 0) - 990) <= 10, `p99 is ${report?.p99}`);
  });

  it('takes negative and very long durations at the ends of its range', () => {
    const metrics = new Metrics();
    [-1, 1e12].forEach((ms) => metrics.recordLatency('request', ms));
    assert.equal(metrics.export().latencies.request?.count, 2);
  });
});

/** Guards against a control budget that leaves out connections which are open or already closed. */
describe('TrafficMeter', () => {
  it('counts the bytes of both ends, before and after the connections close', async () => {
    const meter = new TrafficMeter();
    const server = createServer((_request, response) => response.end('x'.repeat(10_000)));
    const address = await openServer(server, '127.0.0.1:0');
    const answer = await request(`http://${address}/`, { method: 'POST', body: 'y'.repeat(5_000) });
    await answer.body.text();
    // Both ends are in this process, so that each byte is counted once out and once in.
    await waitFor('both directions', () => meter.read().bytesIn >= 15_000);
    await closeServer(server);
    await waitFor('the totals', () => meter.read().bytesOut >= 15_000);
    meter.close();
  });
});
