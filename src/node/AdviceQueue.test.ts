import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AdviceService, type Advice, type AdviceOptions } from '../port/mod.js';
import { AdviceQueue } from './AdviceQueue.js';

const ADVICE: Advice = { allowed: [{ hostId: 'h1', ticket: 't' }], validityMs: 3_000 };

interface SentCall extends AdviceOptions {
  step: string;
  answer: (advice: Advice) => void;
  fail: (error: Error) => void;
}

class FakeAdviceService extends AdviceService {
  readonly calls: SentCall[] = [];

  override askAdvice(
    step: string,
    _hostIds: readonly string[],
    { timeoutMs }: AdviceOptions,
  ): Promise<Advice> {
    return new Promise((answer, fail) => {
      this.calls.push({ step, timeoutMs, answer, fail });
    });
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

function buildQueue(isWanted: (step: string) => boolean = () => true): {
  service: FakeAdviceService;
  queue: AdviceQueue;
} {
  const service = new FakeAdviceService();
  return { service, queue: new AdviceQueue(service, isWanted) };
}

describe('AdviceQueue', () => {
  // Guards against jobs of a queue that never start (LOST): their advice takes longer, by the
  // configuration of the queue, than a fixed time limit.
  it('waits for as long as the service needs for a call and for those before it', () => {
    const { service, queue } = buildQueue();
    queue.ask({ step: 'a.0.0', hostIds: ['h1'], expectedMs: 2_700 }).catch(() => undefined);
    queue.ask({ step: 'b.0.0', hostIds: ['h1'], expectedMs: 8_200 }).catch(() => undefined);
    const [first, second] = service.calls;
    assert.ok(first !== undefined && first.timeoutMs > 2_700);
    assert.ok(second !== undefined && second.timeoutMs > 2_700 + 8_200);
  });

  // Guards against time limits that run while a call waits for its turn in this process.
  it('sends a call only when one before it has ended, also by a failure', async () => {
    const { service, queue } = buildQueue();
    const failed = queue.ask({ step: 'a.0.0', hostIds: ['h1'], expectedMs: 100 });
    queue.ask({ step: 'b.0.0', hostIds: ['h1'], expectedMs: 100 }).catch(() => undefined);
    const third = queue.ask({ step: 'c.0.0', hostIds: ['h1'], expectedMs: 100 });
    assert.deepEqual(
      service.calls.map(({ step }) => step),
      ['a.0.0', 'b.0.0'],
    );
    service.calls[0]?.fail(new Error('no response'));
    await assert.rejects(failed, /no response/);
    assert.equal(service.calls[2]?.step, 'c.0.0');
    service.calls[2].answer(ADVICE);
    assert.deepEqual(await third, ADVICE);
  });

  // Guards against a service that is kept busy with the steps of jobs that have ended.
  it('drops requests that are not wanted when their turn comes, or after it is closed', async () => {
    const ended = new Set<string>();
    const { service, queue } = buildQueue((step) => !ended.has(step));
    const asked = ['a.0.0', 'b.0.0', 'c.0.0', 'd.0.0'].map((step) =>
      queue.ask({ step, hostIds: ['h1'], expectedMs: 100 }),
    );
    ended.add('c.0.0');
    service.calls[0]?.answer(ADVICE);
    assert.equal(await asked[2], undefined);
    assert.equal(service.calls[2]?.step, 'd.0.0');
    const late = queue.ask({ step: 'e.0.0', hostIds: ['h1'], expectedMs: 100 });
    queue.close();
    assert.equal(await late, undefined);
  });
});
