import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { Controller, createControllerClient } from '../controller/mod.js';
import { ControllerSettings } from '../settings/mod.js';
import { PlatformStandin } from '../standin/mod.js';
import { waitFor } from '../testing/mod.js';
import { describeChangeFailure } from './describeChangeFailure.js';

/**
 * Guards against a change that may still take effect being reported as not applied, which leads the
 * operator to apply it a second time.
 */
describe('describeChangeFailure', () => {
  const platform = new PlatformStandin();
  let controller: Controller | undefined;

  after(async () => {
    platform.setFaults({});
    await controller?.close();
    await platform.close();
  });

  async function submit(address: string, baseRevision: number): Promise<unknown> {
    const object = { name: 'brest-1', region: 'brittany' };
    const operation = { action: 'put', kind: 'dataCentre', object } as const;
    const change = { baseRevision, operations: [operation], operator: 'nolwenn' };
    try {
      return await createControllerClient(address).change.mutate(change);
    } catch (error) {
      return describeChangeFailure(error, 7);
    }
  }

  it('distinguishes a refused connection and a rejected input from a lost answer', async () => {
    assert.match(JSON.stringify(await submit('127.0.0.1:40', 0)), /"outcome":"not-applied"/);
    const lost = describeChangeFailure(new Error('socket hang up'), 7);
    assert.equal(lost.outcome, 'unknown');
    assert.match(lost.next, /--revision 7/);
    const address = '127.0.0.1:0';
    controller = new Controller(
      ControllerSettings.parse({
        role: 'controller',
        dataCentre: 'rennes-1',
        address,
        platform: `http://${await platform.open()}`,
      }),
      () => undefined,
    );
    const open = await controller.open();
    assert.match(JSON.stringify(await submit(open, -1)), /"outcome":"not-applied"/);
    // Until the session record of the controller is confirmed, a change is queued behind it unsent
    // and is reported as not applied.
    const client = createControllerClient(open);
    await waitFor('the session', async () => (await client.sessions.query()).length > 0);
    // The platform accepts appends but answers with an error, and applies them later.
    platform.setFaults({ lateAppends: 1_000, lateMs: 60_000 });
    const unknown = JSON.stringify(await submit(open, 0));
    assert.match(unknown, /"outcome":"unknown","reason":"(?!outcome unknown)/);
  });
});
