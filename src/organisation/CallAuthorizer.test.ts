import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ManualClock, TimeReading } from '../clock/mod.js';
import { Configuration } from '../port/mod.js';
import { buildQueueConfig } from '../testing/ScheduleRig.js';
import { readSeed } from '../testing/readSeed.js';
import { CallAuthorizer } from './CallAuthorizer.js';

const LIMIT_MS = 5_000;
/** Time in which the load balancer stops sending callers: two failed checks, one a second. */
const DETECTION_MS = 2_000;

function buildConfiguration(version: number, apiKeys: string[]): Configuration {
  return Configuration.parse({
    version,
    queues: [buildQueueConfig()],
    pools: [],
    organisations: [{ name: 'acme', apiKeys, jobsPerS: 1 }],
  });
}

function createAuthorizer(clock: ManualClock): CallAuthorizer {
  const authorizer = new CallAuthorizer(LIMIT_MS);
  authorizer.setConfiguration(buildConfiguration(1, ['k-1']));
  authorizer.setProof(clock.read());
  return authorizer;
}

function authorize(authorizer: CallAuthorizer, key: string | undefined, now: TimeReading): string {
  return authorizer.authorize({ isPublic: false, key }, now).type;
}

describe('CallAuthorizer', () => {
  it('grants a known key and reports other keys as unknown while it is current', () => {
    const clock = new ManualClock();
    const authorizer = createAuthorizer(clock);
    const granted = authorizer.authorize({ isPublic: false, key: 'k-1' }, clock.read());
    assert.deepEqual(granted, { type: 'granted', organisation: 'acme', validMs: 4_900 });
    assert.equal(authorize(authorizer, 'k-2', clock.read()), 'unknown-key');
    assert.equal(authorize(authorizer, undefined, clock.read()), 'no-key');
  });

  // Guards against a caller with a new key that gives up since one node, which is partitioned from
  // the store, says that the key does not exist.
  it('does not report a key as unknown while a newer configuration may exist', () => {
    const clock = new ManualClock();
    const authorizer = createAuthorizer(clock);
    clock.advance(2_000);
    assert.equal(authorize(authorizer, 'k-2', clock.read()), 'outdated');
    assert.equal(authorize(authorizer, undefined, clock.read()), 'outdated');
    assert.equal(authorize(authorizer, 'k-1', clock.read()), 'granted');
  });

  // Guards against serving a revoked key after a freeze: the monotonic clock does not count it.
  it('uses no key after a suspension that only the wall clock counts', () => {
    const clock = new ManualClock(90_000);
    const authorizer = createAuthorizer(clock);
    assert.equal(authorizer.takeProofChange(clock.read()), undefined);
    clock.setWall(95_000);
    assert.equal(authorize(authorizer, 'k-1', clock.read()), 'outdated');
    assert.equal(authorizer.takeProofChange(clock.read()), 'expired');
    assert.equal(authorizer.takeProofChange(clock.read()), undefined);
    authorizer.setProof(clock.read());
    assert.equal(authorizer.takeProofChange(clock.read()), 'valid');
  });

  it('uses no key before the first complete read', () => {
    const authorizer = new CallAuthorizer(LIMIT_MS);
    assert.equal(authorize(authorizer, undefined, new TimeReading(0, 0)), 'outdated');
    authorizer.setConfiguration(buildConfiguration(1, ['k-1']));
    assert.equal(authorize(authorizer, 'k-1', new TimeReading(0, 0)), 'outdated');
    assert.equal(authorizer.isReady(new TimeReading(0, 0)), false);
  });

  // Guards against callers that the load balancer still sends to a node that refuses all of them.
  it('stops being ready before the load balancer needs it to', () => {
    const clock = new ManualClock();
    const authorizer = createAuthorizer(clock);
    while (authorizer.isReady(clock.read())) clock.advance(10);
    clock.advance(DETECTION_MS);
    assert.equal(authorize(authorizer, 'k-1', clock.read()), 'granted');
  });

  it('needs no key for public queues and in deployments without organisations', () => {
    const clock = new ManualClock();
    const authorizer = createAuthorizer(clock);
    clock.advance(60_000);
    assert.equal(authorizer.authorize({ isPublic: true, key: 'x' }, clock.read()).type, 'granted');
    const plain = new CallAuthorizer(LIMIT_MS);
    plain.setConfiguration(Configuration.parse({ version: 1, queues: [], pools: [] }));
    assert.equal(authorize(plain, undefined, clock.read()), 'granted');
    assert.ok(plain.isReady(clock.read()));
    assert.equal(plain.takeProofChange(clock.read()), undefined);
  });

  // Guards against any order of reads, suspensions and clock adjustments in which a key is served
  // too long after its removal, or a key that has existed for 1.5 s is called unknown.
  it('serves no key after the limit and denies no existing key, whatever the clocks do', () => {
    const event = fc.oneof(
      fc.record({ type: fc.constant('advance'), byMs: fc.integer({ min: 1, max: 1_500 }) }),
      fc.record({ type: fc.constant('suspend'), byMs: fc.integer({ min: 1, max: 7_000 }) }),
      fc.record({ type: fc.constant('set-back'), byMs: fc.integer({ min: 1, max: 9_000 }) }),
      fc.constantFrom(...['toggle', 'send-read', 'answer-read'].map((type) => ({ type, byMs: 0 }))),
    );
    fc.assert(
      fc.property(fc.array(event, { maxLength: 80 }), (events) => {
        const authorizer = new CallAuthorizer(LIMIT_MS);
        let [trueMs, monotonicMs, wallMs] = [0, 0, 1_000_000];
        // The store's configuration, and a read that has been sent: its answer and sending time.
        let configuration = buildConfiguration(1, ['k-1']);
        let changedAtMs = 0;
        let read: { sentAt: TimeReading; answer: Configuration } | undefined;
        const tick = (byMs: number, isSuspended: boolean): void => {
          trueMs += byMs;
          wallMs += byMs;
          if (!isSuspended) monotonicMs += byMs;
        };
        events.forEach(({ type, byMs }) => {
          if (type === 'advance') tick(byMs, false);
          if (type === 'suspend') tick(byMs, true);
          if (type === 'set-back') wallMs -= byMs;
          if (type === 'toggle') {
            const isSet = (configuration.organisations?.[0]?.apiKeys.length ?? 0) > 0;
            configuration = buildConfiguration(configuration.version + 1, isSet ? [] : ['k-1']);
            changedAtMs = trueMs;
          }
          // A set-back hides a suspension while a proof is in use; the sum of both is not decidable.
          if (type === 'set-back') authorizer.setProof(undefined);
          if (type === 'set-back') read = undefined;
          const now = new TimeReading(monotonicMs, wallMs);
          if (type === 'send-read') read = { sentAt: now, answer: configuration };
          if (type === 'answer-read' && read !== undefined) {
            authorizer.setConfiguration(read.answer);
            authorizer.setProof(read.sentAt);
            read = undefined;
          }
          const decision = authorize(authorizer, 'k-1', now);
          const exists = (configuration.organisations?.[0]?.apiKeys.length ?? 0) > 0;
          const sinceMs = trueMs - changedAtMs;
          if (!exists && sinceMs >= LIMIT_MS) assert.notEqual(decision, 'granted');
          if (exists && sinceMs > 1_500) assert.notEqual(decision, 'unknown-key');
        });
      }),
      { seed: readSeed(), numRuns: 500 },
    );
  });
});
