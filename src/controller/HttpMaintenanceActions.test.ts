import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { PlatformStandin } from '../standin/mod.js';
import { waitFor } from '../testing/mod.js';
import { HttpMaintenanceActions } from './HttpMaintenanceActions.js';

describe('HttpMaintenanceActions', () => {
  const platform = new PlatformStandin();
  after(() => platform.close());

  // Guards against treating a reboot as accepted although the platform refused it.
  it('reboots hosts, one of which never returns, and reports refusals', async () => {
    const actions = new HttpMaintenanceActions(`http://${await platform.open()}`);
    platform.setHosts([
      { host: 'h1', state: 'live' },
      { host: 'h2', state: 'live' },
    ]);
    platform.setFaults({ rebootMs: 10, lostHosts: ['h2'] });
    const notAfter = Date.now() + 60_000;
    await actions.reboot('h1', notAfter);
    await actions.reboot('h2', notAfter);
    await waitFor('h1 to return', () => platform.listHosts().some(({ host }) => host === 'h1'));
    assert.deepEqual(platform.listHosts(), [{ host: 'h1', state: 'live' }]);
    await assert.rejects(actions.reboot('h3', notAfter), /host "h3" with status 404/);
    await assert.rejects(actions.reboot('h1', Date.now() - 1), /host "h1" with status 412/);
    await actions.close();
  });
});
