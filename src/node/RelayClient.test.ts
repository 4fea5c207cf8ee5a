import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import { after, describe, it } from 'node:test';
import { closeServer, openServer } from '../net/mod.js';
import { RelayClient } from './RelayClient.js';
import { RelayApi, type RelayedWriteLimit } from './RelayRouter.js';
import { RelayServer } from './RelayServer.js';
import type { WriteOutcome } from './WorkLogWriter.js';

class ScriptedNode extends RelayApi {
  readonly #isReady: boolean;

  written: string[] = [];

  readonly timeouts: number[] = [];

  readonly expiries: (number | undefined)[] = [];

  constructor(isReady: boolean) {
    super();
    this.#isReady = isReady;
  }

  override canWrite(): Promise<boolean> {
    return Promise.resolve(this.#isReady);
  }

  override write(
    key: string,
    _value: string,
    { timeoutMs, expiresAtMs }: RelayedWriteLimit,
  ): Promise<WriteOutcome> {
    this.written.push(key);
    this.timeouts.push(timeoutMs);
    this.expiries.push(expiresAtMs);
    return Promise.resolve(this.#isReady ? 'stored' : 'not-stored');
  }

  override checkStoreContact(): boolean {
    return true;
  }

  override findState(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}

describe('RelayClient', () => {
  const servers: (Server | RelayServer)[] = [];
  after(() =>
    Promise.all(
      servers.map((one) => (one instanceof RelayServer ? one.close() : closeServer(one))),
    ),
  );

  async function openPeer(node: RelayApi): Promise<string> {
    const server = new RelayServer(node);
    servers.push(server);
    return server.open('127.0.0.1:0');
  }

  /** Opens a peer that never responds. */
  async function openSilent(): Promise<string> {
    const server = createServer(() => undefined);
    servers.push(server);
    return openServer(server, '127.0.0.1:0');
  }

  function openClient(addresses: string[]): RelayClient {
    const options = {
      name: 'own',
      dataCentre: 'dc-1',
      readClock: () => performance.now(),
      readWall: () => 80_000,
    };
    const client = new RelayClient(options);
    addresses.forEach((address, index) => {
      client.setPeer(`peer-${index}`, { session: `s-${index}`, address, dataCentre: 'dc-1' });
    });
    return client;
  }

  // Guards against an unknown outcome, after which a caller cannot retry: a record that was refused
  // here was sent to a peer in a partition, which could not append it and did not respond.
  it('keeps the outcome known when no peer reports that it can append', async () => {
    const busy = new ScriptedNode(false);
    const client = openClient([await openSilent(), await openPeer(busy)]);
    const startedAt = performance.now();
    assert.equal(
      await client.write({ key: 'job/a', value: '{}' }, { timeoutMs: 700 }),
      'not-stored',
    );
    assert.ok(performance.now() - startedAt < 700);
    assert.deepEqual(busy.written, []);
  });

  it('sends the record to a peer that can append, skipping one that does not respond', async () => {
    const ready = new ScriptedNode(true);
    const client = openClient([await openSilent(), await openPeer(ready)]);
    assert.equal(await client.write({ key: 'job/a', value: '{}' }, { timeoutMs: 700 }), 'stored');
    assert.deepEqual(ready.written, ['job/a']);
  });

  // Guards against a peer that appends the record of a call after its API key has become invalid.
  it('lets a peer append a record only as long as it is valid', async () => {
    const ready = new ScriptedNode(true);
    const client = openClient([await openPeer(ready)]);
    const record = { key: 'job/a', value: '{}' };
    const computeValidity = (): number => 40;
    await client.write(record, { timeoutMs: 700, computeValidity });
    assert.deepEqual(ready.timeouts, [40]);
    assert.deepEqual(ready.expiries, [80_040]);
    const outcome = await client.write(record, { timeoutMs: 700, computeValidity: () => 0 });
    assert.equal(outcome, 'not-stored');
    assert.equal(ready.written.length, 1);
    await client.write(record, { timeoutMs: 700, computeValidity: () => Infinity });
    assert.deepEqual(ready.expiries, [80_040, undefined]);
  });

  // Guards against a shard that is left for 1 s or more to a stopping node, which cannot append.
  it('finds no successor if no peer can append', async () => {
    const client = openClient([await openSilent(), await openPeer(new ScriptedNode(false))]);
    assert.equal(await client.findResponsive(['peer-0', 'peer-1']), undefined);
    const other = openClient([
      await openPeer(new ScriptedNode(false)),
      await openPeer(new ScriptedNode(true)),
    ]);
    assert.equal(await other.findResponsive(['peer-0', 'peer-1']), 'peer-1');
  });
});
