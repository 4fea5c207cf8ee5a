import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { ProcessGroup, waitFor, type StartedProcess } from '../testing/mod.js';

/** Runs the commands against daemons in separate processes, as operators do. */
describe('the command line', () => {
  const group = new ProcessGroup();
  let controller: StartedProcess;
  let gateway: StartedProcess;
  let peer = '';
  let rules = '';
  let revision = '';
  let inventory = '';

  function run(...args: string[]) {
    return group.runCommand(...args, '--controller', controller.address);
  }

  before(async () => {
    const platform = await group.startStandin('platform');
    const upstream = await group.startStandin('upstream', 'h1');
    const address = '127.0.0.1:0';
    const site = { dataCentre: 'rennes-1', address };
    controller = await group.startDaemon({
      ...site,
      role: 'controller',
      platform: `http://${platform.address}`,
      logLevel: 'info',
    });
    gateway = await group.startDaemon({
      ...site,
      role: 'gateway',
      peerAddress: address,
      controllers: [controller.address],
      logLevel: 'debug',
    });
    peer = gateway.lines.find((line) => line.message === 'listening')?.peerAddress as string;
    const host = { name: 'h1', dataCentre: 'rennes-1', rack: 'r1', address: upstream.address };
    const dataCentres = [{ name: 'rennes-1', region: 'brittany' }];
    const pools = [{ name: 'match', need: 1 }];
    const services = [{ name: 'match', pathPrefix: '/match', pool: 'match' }];
    inventory = group.writeFile('inventory.jsonc', JSON.stringify({ dataCentres, hosts: [host] }));
    rules = group.writeFile('rules.jsonc', JSON.stringify({ pools, services }));
  });

  after(() => group.close());

  it('shows the operations of a dry run and changes nothing', async () => {
    const dry = await run('apply', inventory, rules, '--dry-run');
    assert.equal(dry.code, 0, dry.stderr);
    assert.match(dry.stdout, /^ACTION +KIND +NAME\nput +dataCentre +rennes-1\nput +host +h1\n/);
    assert.match((await run('fleet')).stdout, /^revision 0, 0 hosts/);
  });

  it('applies the merged files, and reports when nothing is left to change', async () => {
    const applied = await run('apply', inventory, rules, '--operator', 'nolwenn');
    assert.equal(applied.code, 0, applied.stderr);
    // Revisions are log offsets, and daemon sessions are records too, so the number is not fixed.
    revision = /^accepted: 4 operation\(s\), revision 0 -> (\d+)$/m.exec(applied.stdout)?.[1] ?? '';
    assert.match(revision, /^[1-9]/, applied.stdout);
    assert.match(
      (await run('apply', inventory, rules)).stdout,
      new RegExp(`revision ${revision}\\b`),
    );
  });

  it('reports the shortfall that remains after accepting rules', async () => {
    const file = group.writeFile(
      'more.jsonc',
      JSON.stringify({ pools: [{ name: 'match', need: 3 }] }),
    );
    const applied = await run('apply', file);
    assert.equal(applied.code, 0, applied.stdout);
    assert.match(applied.stdout, /^shortfall: match asks for 3 hosts, 2 more than the inventory/m);
    assert.match((await run('fleet')).stdout, /^shortfall: match asks for 3 hosts, 2 more/m);
    const back = await run('apply', rules);
    assert.doesNotMatch(back.stdout, /shortfall/);
    revision = /-> (\d+)$/m.exec(back.stdout)?.[1] ?? '';
  });

  it('prints both revisions of a conflict and exits with 1', async () => {
    const changed = JSON.stringify({ pools: [{ name: 'match', need: 0 }] });
    const file = group.writeFile('changed.jsonc', changed);
    const conflict = await run('apply', file, '--revision', '0');
    assert.equal(conflict.code, 1);
    const refusal = `^rejected: your revision is 0, the fleet's is ${revision}$`;
    assert.match(conflict.stdout, new RegExp(refusal, 'm'));
    assert.match(conflict.stdout, new RegExp(`pool "match" changed at revision ${revision}\\b`));
  });

  it('shows hosts, contracts and waves as tables and as JSON', async () => {
    await waitFor('the host to serve', async () =>
      /^h1 serves match: match asks for 1 \+ 0 hosts/.test((await run('host', 'h1')).stdout),
    );
    const shown = await run('host', 'h1', '--json');
    assert.equal(JSON.parse(shown.stdout).state.pool, 'match');
    assert.equal((await run('host', 'h2')).code, 1);
    assert.match((await run('contracts')).stdout, /^match +need +yes +0 +-$/m);
    assert.deepEqual(JSON.parse((await run('waves', '--json')).stdout), {
      waves: [],
      withdrawn: [],
      late: [],
    });
  });

  it('explains a request from the timelines of two processes', async () => {
    const answer = await waitFor('an answer', async () => {
      const one = await request(`http://${gateway.address}/match/1`);
      await one.body.dump();
      return one.statusCode === 200 && one;
    });
    const id = String(answer.headers['x-request-id']);
    const explained = await waitFor('the end of the request', async () => {
      const one = await run('explain', id, '--process', peer);
      return one.stdout.includes('request.answered') && one;
    });
    assert.match(explained.stdout, /host-assign\.proposed.*\n(.*\n)*.*request\.sent.*host=h1/);
    const merged = JSON.parse((await run('timeline', '--process', peer, '--json')).stdout);
    const processes = new Set(
      merged.map((one: { event: { process: string } }) => one.event.process),
    );
    assert.equal(processes.size, 2);
    assert.equal((await run('explain', 'nothing')).code, 1);
  });

  it('shows metrics, and which processes have which revision or are missing', async () => {
    const metrics = JSON.parse((await run('metrics', '--process', peer, '--json')).stdout);
    assert.ok(metrics.every((one: { gauges: object }) => 'bytesIn' in one.gauges));
    assert.match((await run('metrics', '--process', peer)).stdout, / request +1 /);
    const rollout = await run('rollout', '--process', peer, '--revision', revision);
    assert.equal(rollout.code, 0, rollout.stdout);
    assert.match(rollout.stdout, new RegExp(`gateway +rennes-1 +${revision} .* in force .* ready`));
    // The row of the controller includes the time until the change was in force.
    assert.match(rollout.stdout, /^controller .* in force +\d+ +ready/m);
    const missing = await run('rollout', '--process', '127.0.0.1:1');
    assert.equal(missing.code, 1);
    assert.match(missing.stdout, / missing .* 127\.0\.0\.1:1\b/);
    const ahead = await run('rollout', '--revision', '999999');
    assert.equal(ahead.code, 1);
    assert.match(ahead.stdout, /^revision 999999: .* [1-9]\d* behind, 0 missing/);
    // A frozen process accepts connections but does not answer.
    gateway.child.kill('SIGSTOP');
    const frozen = await run('rollout', '--process', peer);
    gateway.child.kill('SIGCONT');
    assert.equal(frozen.code, 1);
    assert.match(frozen.stdout, new RegExp(` missing .* ${peer}: .*timeout`));
  });

  it('serves the JSON output of the commands over plain HTTP, read-only', async () => {
    const pages = [
      ['fleet', ['fleet']],
      ['contracts', ['contracts']],
      [`rollout?revision=${revision}`, ['rollout', '--revision', revision]],
    ] as const;
    for (const [page, command] of pages) {
      const url = `http://${controller.address}/-/${page}`;
      const answer = await request(url);
      const shown = (await answer.body.json()) as Record<string, unknown>;
      const printed = JSON.parse((await run(...command, '--json')).stdout);
      const key = page === 'contracts' ? '0' : 'revision';
      assert.deepEqual(shown[key], printed[key]);
      assert.deepEqual(Object.keys(shown), Object.keys(printed));
      const refused = await request(url, { method: 'POST', body: '{}' });
      await refused.body.dump();
      assert.equal(refused.statusCode, 405);
    }
    const broken = await request(`http://${controller.address}/-/rollout?revision=x`);
    const { error } = (await broken.body.json()) as { error: string };
    assert.equal(error, 'revision: expected a revision, got "x"');
    assert.equal(broken.statusCode, 400);
  });

  it('queries the next controller if the first does not answer', async () => {
    const several = `127.0.0.1:1,${controller.address}`;
    assert.equal((await group.runCommand('fleet', '--controller', several)).code, 0);
    const none = await group.runCommand('fleet', '--controller', '127.0.0.1:1');
    assert.equal(none.code, 1);
    assert.match(none.stderr, /no controller answers\n +127\.0\.0\.1:1: /);
  });

  it('writes log lines at the configured level, with process and request id', () => {
    const debug = gateway.lines.find((line) => line.message === 'request.received');
    assert.equal(debug?.level, 'debug');
    assert.match(String(debug?.request), /^[\da-f-]{36}$/);
    assert.match(String(debug?.process), /^gateway-/);
    // The controller records the same kind of events, but its log level excludes them.
    const levels = new Set(controller.lines.map((line) => line.level));
    assert.deepEqual([...levels], ['info']);
  });
});

/** Guards against failures that exit with a success code, which scripts would not notice. */
describe('usage errors', () => {
  const group = new ProcessGroup();
  after(() => group.close());
  const cases: [string[], RegExp][] = [
    [['nope'], /Invalid command: nope/],
    [[], /No command specified/],
    [['fleet', '--bogus'], /Unknown option: --bogus/],
    [['host'], /Insufficient arguments/],
    [['fleet', 'x'], /unexpected argument "x"/],
    [['demo', '--scenario', 'x'], /--scenario: expected one of tour, .*, got "x"/],
    [['fleet', '--controller'], /--controller needs a value/],
    [['check', '/nonexistent.jsonc'], /^$/],
  ];
  cases.forEach(([args, message]) => {
    it(`exits with 2 for "${args.join(' ')}"`, async () => {
      const { code, stderr } = await group.runCommand(...args);
      assert.equal(code, 2);
      assert.match(stderr, message);
    });
  });

  it('prints the help of a command with examples and exits with 0', async () => {
    const { code, stdout } = await group.runCommand('apply', '--help');
    assert.equal(code, 0);
    assert.match(stdout, /Examples\n +\$ buckthornreach apply inventory\.jsonc/);
  });

  it('runs the default demo and exits with 0', async () => {
    const { code, stdout, stderr } = await group.runCommand('demo');
    assert.equal(code, 0, stderr);
    assert.match(stdout, /match: needs 5, has 5, 5 serve/);
    assert.match(stdout, /host-observed\.accepted/);
    assert.doesNotMatch(stdout, /^fault/m);
  });

  ['maintenance', 'failure', 'race'].forEach((scenario) => {
    it(`runs the scenario ${scenario} and exits with 0 in under 20 s`, async () => {
      const begin = performance.now();
      const { code, stdout } = await group.runCommand('demo', '--scenario', scenario);
      assert.equal(code, 0, stdout);
      assert.doesNotMatch(stdout, /NOT TRUE|^fault/m);
      assert.ok(performance.now() - begin < 20_000);
    });
  });
});
