import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { describe, it } from 'node:test';
import { closeServer, openServer, parseAddress } from '../net/mod.js';
import { findFreeAddress } from './findFreeAddress.js';

/** Linux gives ports from here to outgoing connections by default. */
const EPHEMERAL_PORTS_FROM = 32_768;

/** Guards against a daemon that cannot come back because a connection has taken its port. */
describe('findFreeAddress', () => {
  it('gives no port twice and none of those of outgoing connections', async () => {
    const addresses: string[] = [];
    for (let count = 0; count < 30; count += 1) addresses.push(await findFreeAddress());
    assert.equal(new Set(addresses).size, addresses.length);
    addresses.forEach((address) => assert.ok(parseAddress(address).port < EPHEMERAL_PORTS_FROM));
  });

  it('passes over a port that is in use', async () => {
    const server = createServer();
    const taken = await openServer(server, await findFreeAddress());
    const { port } = parseAddress(taken);
    const others: string[] = [];
    // The block is gone through twice.
    for (let count = 0; count < 200; count += 1) others.push(await findFreeAddress());
    assert.ok(!others.includes(`127.0.0.1:${port}`));
    await closeServer(server);
  });
});
