import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConnectionBudget } from './ConnectionBudget.js';
import { HeldTotals } from './HeldTotals.js';
import { IngressSettings, WaitLimits } from './IngressSettings.js';

const SETTINGS = IngressSettings.parse({});
const CONFIGURED_BODY_BYTES = 262_144;

function buildConnection(): { connection: ConnectionBudget; totals: HeldTotals } {
  const totals = new HeldTotals();
  return { connection: new ConnectionBudget(SETTINGS, { totals, nowMs: 0 }), totals };
}

function buildSample(fields = {}) {
  return { movedBytes: 0, unreadBytes: 0, aheadBodyBytes: 0, nowMs: 0, ...fields };
}

describe('ConnectionBudget', () => {
  // Guards against a caller that sends thousands of requests before it reads a response.
  it('exceeds its bound with the first request beyond those allowed ahead', () => {
    const { connection } = buildConnection();
    connection.addRequest(100);
    connection.startRequest(100, 0);
    for (let index = 0; index < SETTINGS.maxRequestsAhead; index += 1) connection.addRequest(100);
    assert.equal(connection.update(buildSample()), undefined);
    connection.addRequest(100);
    assert.equal(connection.update(buildSample()), 'requests-ahead');
  });

  it('exceeds its bounds with large requests ahead and with unread responses', () => {
    const { connection } = buildConnection();
    connection.addRequest(100);
    const aheadBodyBytes = SETTINGS.maxAheadBytes;
    assert.equal(connection.update(buildSample({ aheadBodyBytes })), 'ahead-bytes');
    const unreadBytes = SETTINGS.maxUnreadBytes + 1;
    assert.equal(connection.update(buildSample({ unreadBytes })), 'unread-bytes');
  });

  // Guards against bodies that stop or trickle and keep their connection open for minutes.
  it('stalls if a body makes no progress, but not while its request is executed', () => {
    const { connection } = buildConnection();
    const late = SETTINGS.progressTimeoutMs + 1;
    connection.addRequest(100);
    connection.startRequest(100, 0);
    const movedBytes = SETTINGS.minProgressBytes - 1;
    assert.equal(connection.update(buildSample({ movedBytes, nowMs: late })), 'progress');
    connection.markComplete(late);
    assert.equal(connection.update(buildSample({ movedBytes, nowMs: 2 * late })), undefined);
    connection.finishRequest(2 * late);
    assert.equal(connection.update(buildSample({ movedBytes, nowMs: 9 * late })), undefined);
  });

  it('stalls if a response is not read', () => {
    const { connection } = buildConnection();
    const late = SETTINGS.progressTimeoutMs + 1;
    assert.equal(connection.update(buildSample({ unreadBytes: 1 })), undefined);
    assert.equal(connection.update(buildSample({ unreadBytes: 1, nowMs: late })), 'progress');
  });

  // Guards against a connection that is closed while its caller may be sending a request.
  it('times out with a header that does not end, and later while nothing is sent', () => {
    const { connection } = buildConnection();
    const limits = WaitLimits.parse({});
    const { headerTimeoutMs, idleTimeoutMs } = limits;
    assert.equal(connection.findTimeout(limits, idleTimeoutMs), undefined);
    assert.equal(connection.findTimeout(limits, idleTimeoutMs + 1), 'idle');
    connection.markHeader(idleTimeoutMs);
    connection.markHeader(idleTimeoutMs + 1);
    const endMs = idleTimeoutMs + headerTimeoutMs;
    assert.equal(connection.findTimeout(limits, endMs), undefined);
    assert.equal(connection.findTimeout(limits, endMs + 1), 'header');
    connection.addRequest(100);
    connection.startRequest(100, endMs);
    connection.markHeader(endMs);
    assert.equal(connection.findTimeout(limits, 9 * endMs), undefined);
    connection.finishRequest(9 * endMs);
    assert.equal(connection.findTimeout(limits, 9 * endMs + headerTimeoutMs), undefined);
    assert.equal(connection.findTimeout(limits, 9 * endMs + headerTimeoutMs + 1), 'header');
  });

  // Guards against the refusal of a caller on a slow link, which may take minutes for a large body.
  it('permits a body of the maximum size on a slow link', () => {
    const { connection } = buildConnection();
    connection.addRequest(16_384);
    connection.startRequest(16_384, 0);
    const step = SETTINGS.minProgressBytes;
    for (let bytes = step; bytes <= CONFIGURED_BODY_BYTES; bytes += step) {
      connection.addBody(step);
      const nowMs = (bytes / step) * SETTINGS.progressTimeoutMs;
      assert.equal(connection.update(buildSample({ movedBytes: bytes, nowMs })), undefined);
    }
    assert.ok(connection.heldBytes < SETTINGS.maxHeldBytes / 10);
  });

  // Guards against memory that stays counted, after which every request would be refused.
  it('counts an executed request after the connection is closed, until it has ended', () => {
    const { connection, totals } = buildConnection();
    connection.addRequest(100);
    connection.startRequest(100, 0);
    connection.addBody(4_000);
    connection.markComplete(0);
    connection.addRequest(100);
    connection.close();
    assert.equal(totals.openRequests, 1);
    assert.ok(totals.heldBytes > 4_000);
    connection.finishRequest(1);
    assert.deepEqual([totals.openRequests, totals.heldBytes], [0, 0]);
  });

  it('counts nothing after it is closed within a body', () => {
    const { connection, totals } = buildConnection();
    connection.addRequest(100);
    connection.startRequest(100, 0);
    connection.addBody(4_000);
    connection.close();
    assert.deepEqual([totals.openRequests, totals.heldBytes], [0, 0]);
  });
});
