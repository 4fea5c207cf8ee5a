import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { Agent, request } from 'undici';
import { ProcessGroup, waitFor, type StartedProcess } from '../testing/mod.js';

/**
 * Guards against failures that appear only between processes: jobs that keep going to a frozen or
 * killed host, and requests that are cut off when the gateway stops under load.
 */
describe('a gateway process', () => {
  const group = new ProcessGroup();
  let gateway: StartedProcess;
  let upstreams: StartedProcess[] = [];
  let url = '';

  before(async () => {
    const platform = await group.startStandin('platform');
    upstreams = await Promise.all(
      ['h1', 'h2', 'h3', 'h4'].map((name) => group.startStandin('upstream', name)),
    );
    const settings = { dataCentre: 'rennes-1', address: '127.0.0.1:0' };
    const controller = await group.startDaemon({
      ...settings,
      role: 'controller',
      platform: `http://${platform.address}`,
    });
    gateway = await group.startDaemon({
      ...settings,
      role: 'gateway',
      peerAddress: '127.0.0.1:0',
      controllers: [controller.address],
      stopNoticeMs: 500,
    });
    const fleet = {
      dataCentres: [{ name: 'rennes-1', region: 'brittany' }],
      hosts: upstreams.map(({ address }, index) => ({
        name: `h${index + 1}`,
        dataCentre: 'rennes-1',
        rack: 'r1',
        address,
      })),
      pools: [{ name: 'match', need: 4 }],
      services: [{ name: 'match', pathPrefix: '/match', pool: 'match' }],
    };
    const file = group.writeFile('fleet.jsonc', JSON.stringify(fleet));
    const applied = await group.runCommand('apply', file, '--controller', controller.address);
    assert.equal(applied.code, 0, applied.stderr);
    url = `http://${gateway.address}/match`;
    const seen = new Set<string>();
    await waitFor('all hosts', async () => {
      const { body } = await request(url);
      const { host } = (await body.json()) as { host?: string };
      if (host) seen.add(host);
      return seen.size === 4;
    });
  });

  after(() => group.close());

  it('ejects a frozen and a killed host from rotation', async () => {
    const headers = { 'buckthornreach-timeout-ms': '1200' };
    upstreams[0]?.child.kill('SIGSTOP');
    upstreams[1]?.child.kill('SIGKILL');
    const outcomes: string[] = [];
    await waitFor('only good answers', async () => {
      const statuses = await Promise.all(
        Array.from({ length: 24 }, async () => {
          const answer = await request(url, { method: 'POST', body: 'x', headers });
          await answer.body.dump();
          outcomes.push(String(answer.headers['buckthornreach-outcome']));
          return answer.statusCode;
        }),
      );
      return statuses.every((status) => status === 200);
    });
    assert.ok(outcomes.includes('unknown'), 'a job sent to a frozen host may have run');
    upstreams[0]?.child.kill('SIGCONT');
  });

  it('completes every request in flight when it stops under load', async () => {
    const behaviour = JSON.stringify({ serviceMs: 200 });
    await Promise.all(
      upstreams
        .filter(({ child }) => child.signalCode === null)
        .map(async ({ address }) => {
          const path = `http://${address}/standin/behaviour`;
          await (await request(path, { method: 'POST', body: behaviour })).body.dump();
        }),
    );
    const agent = new Agent({ connections: 200 });
    const counts = { ran: 0, shed: 0, refused: 0, cut: 0 };
    const errors: string[] = [];
    let isOver = false;
    const flood = Array.from({ length: 100 }, async () => {
      while (!isOver) {
        try {
          const answer = await request(url, { dispatcher: agent, method: 'POST', body: 'x' });
          await answer.body.dump();
          if (answer.statusCode === 200) counts.ran += 1;
          else counts.shed += 1;
        } catch (error) {
          const { code = '' } = error as NodeJS.ErrnoException;
          isOver = true;
          if (code === 'ECONNREFUSED') counts.refused += 1;
          else {
            counts.cut += 1;
            errors.push(`${code} ${(error as Error).message}`);
          }
        }
      }
    });
    await waitFor('load', () => counts.ran > 50);
    gateway.child.kill('SIGTERM');
    await waitFor('not ready', async () => {
      const { statusCode, body } = await request(`http://${gateway.address}/-/ready`);
      await body.dump();
      return statusCode === 503;
    });
    await Promise.all(flood);
    await waitFor('the end of the process', () => gateway.child.exitCode !== null);
    await agent.close();
    assert.deepEqual(errors, []);
    assert.equal(gateway.child.exitCode, 0);
    assert.ok(counts.refused > 0, 'the flood went on until connections were refused');
  });
});
