import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ActorScope } from '../actor/mod.js';
import {
  OrderUnansweredError,
  OrderUnsentError,
  type HostTarget,
  type OrderResponse,
} from '../port/mod.js';
import type { OrderOutcome } from '../schedule/RunTracker.js';
import { HostLink } from './HostLink.js';
import type { NodeContext } from './NodeContext.js';

const TARGET = { id: 'h-1', address: '127.0.0.1:9' };

function openLink(): { link: HostLink; faults: string[]; closed: string[] } {
  const faults: string[] = [];
  const closed: string[] = [];
  const scope = new ActorScope('link', (_, error) => faults.push(error.message));
  const hosts = {
    closeConnections: ({ address }: HostTarget) => closed.push(address),
    checkHealth: () => Promise.reject(new TypeError('odd answer')),
  };
  return { link: new HostLink({ scope, hosts } as unknown as NodeContext, TARGET), faults, closed };
}

function order(link: HostLink, send: () => Promise<OrderResponse>): Promise<OrderOutcome> {
  return link.ask<OrderOutcome>((reply) => ({ type: 'order', send, reply }), 1_000);
}

describe('HostLink', () => {
  // Guards against calls to the former address of a host that restarted under its identifier.
  it('sends orders to its last target and closes the connections to the former one', async () => {
    const { link, closed } = openLink();
    const target = { id: 'h-1', address: '127.0.0.1:10' };
    link.send({ type: 'set-target', target });
    const addresses: string[] = [];
    await link.ask<OrderOutcome>(
      (reply) => ({
        type: 'order',
        send: ({ address }) => {
          addresses.push(address);
          return Promise.resolve({ type: 'done', clockMs: undefined });
        },
        reply,
      }),
      1_000,
    );
    assert.deepEqual(addresses, [target.address]);
    assert.deepEqual(closed, [TARGET.address]);
    link.close();
  });

  // Guards against orders without an outcome, and against a rejection without a handler that ends
  // the process: a call to a host may throw before it returns a promise.
  it('replies to every order, whatever error its call throws', async () => {
    const { link, faults } = openLink();
    const thrown = await order(link, () => {
      throw new TypeError('Invalid URL');
    });
    assert.deepEqual(thrown, { type: 'unanswered' });
    const rejected = await order(link, () => Promise.reject(new TypeError('odd answer')));
    assert.deepEqual(rejected, { type: 'unanswered' });
    assert.deepEqual(faults, ['Invalid URL', 'odd answer']);
    const isWell = await link.ask<boolean | undefined>(
      (reply) => ({ type: 'check-health', path: '/health', reply }),
      1_000,
    );
    assert.equal(isWell, undefined);
    link.close();
  });

  it('tells orders that were not sent from those that were not answered', async () => {
    const { link, faults } = openLink();
    const unsent = await order(link, () => Promise.reject(new OrderUnsentError('refused')));
    assert.deepEqual(unsent, { type: 'unsent' });
    const unanswered = await order(link, () => Promise.reject(new OrderUnansweredError('late')));
    assert.deepEqual(unanswered, { type: 'unanswered' });
    assert.deepEqual(faults, []);
    link.close();
  });
});
