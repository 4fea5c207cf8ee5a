import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { describe, it } from 'node:test';
import { closeServer, openServer, parseAddress } from '../net/mod.js';
import { findFreeAddress } from './findFreeAddress.js';

/** Start of the ephemeral port range of Linux by default. */
const FIRST_EPHEMERAL_PORT = 32_768;

/** Guards against a daemon that cannot restart because an outgoing connection uses its port. */
describe('findFreeAddress', () => {
  it('returns each port once and no ephemeral port', async () => {
    const addresses: string[] = [];
    for (let count = 0; count < 30; count += 1) addresses.push(await findFreeAddress());
    assert.equal(new Set(addresses).size, addresses.length);
    addresses.forEach((address) => assert.ok(parseAddress(address).port < FIRST_EPHEMERAL_PORT));
  });

  it('skips a port that is in use', async () => {
    const server = createServer();
    const usedAddress = await openServer(server, await findFreeAddress());
    const { port } = parseAddress(usedAddress);
    const others: string[] = [];
    // 200 calls go through the block of 100 ports twice.
    for (let count = 0; count < 200; count += 1) others.push(await findFreeAddress());
    assert.ok(!others.includes(`127.0.0.1:${port}`));
    await closeServer(server);
  });
});
