import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { request } from 'undici';
import { Fleet } from '../fleet/mod.js';
import { decodeRecord, type LogEntry, type Operation, type RecordBody } from '../record/mod.js';
import { ProcessGroup, waitFor, type StartedProcess } from '../testing/mod.js';
import { createControllerClient } from './ControllerClient.js';

const HOSTS = Array.from({ length: 12 }, (_, index) => `h${index}`);
const LOST = ['h0', 'h7'];
const BUDGET = 8;
const CALL_TIMEOUT_MS = 3_000;
/**
 * A lost reboot is repeated after a minute. Two may be lost in a row, one to the freeze and one to
 * the kill, and the waves in between take about 15 s each.
 */
const WAVE_DEADLINE_MS = 160_000;

const OPERATIONS = [
  { action: 'put', kind: 'dataCentre', object: { name: 'd1', region: 'r' } },
  {
    action: 'put',
    kind: 'pool',
    object: {
      name: 'a',
      need: 4,
      headroom: 8,
      availabilityBudget: BUDGET,
      // About 17 s, so that the wave never ends while the test goes on.
      maintenance: { periodDays: 0.0002 },
    },
  },
  ...HOSTS.map((name, at) => {
    const object = {
      name,
      dataCentre: 'd1',
      rack: `r${Math.floor(at / 2)}`,
      address: `10.0.0.${at}:80`,
    };
    return { action: 'put', kind: 'host', object };
  }),
] as Operation[];

/** A platform, two controllers, and a gateway that the test stands in for. */
class Deployment {
  readonly group = new ProcessGroup();

  readonly controllers: StartedProcess[] = [];

  /** Whether the gateway keeps its reports back. */
  isHolding = false;

  fleet = new Fleet();

  #platform = '';

  async open(): Promise<void> {
    this.#platform = `http://${(await this.group.startStandin('platform')).address}`;
    await this.send('PUT', '/faults', { rebootMs: 6_000, lostHosts: LOST });
    await this.putList(HOSTS);
    const settings = { role: 'controller', dataCentre: 'd1', address: '127.0.0.1:0' };
    for (let count = 0; count < 2; count += 1) {
      const platform = this.#platform;
      this.controllers.push(await this.group.startDaemon({ ...settings, platform }));
    }
    const [{ address }] = this.controllers as [StartedProcess];
    const change = { baseRevision: 0, operations: OPERATIONS, operator: 'test' };
    const { verdict } = await createControllerClient(address).change.mutate(change);
    assert.equal(verdict.outcome, 'accepted');
    const ends = { address: '10.9.0.1:80', peerAddress: '10.9.0.1:81' };
    await this.append({
      type: 'session-open',
      session: 'g',
      role: 'gateway',
      dataCentre: 'd1',
      ...ends,
    });
  }

  async send(method: 'GET' | 'PUT', path: string, body?: object): Promise<unknown> {
    const text = body === undefined ? null : JSON.stringify(body);
    const answer = await request(`${this.#platform}${path}`, { method, body: text });
    return answer.body.json();
  }

  async putList(hosts: string[]): Promise<void> {
    const list = hosts.map((host) => ({ host, state: 'live' }));
    await this.send('PUT', '/hosts', list);
  }

  /** Appends a record through the first controller that answers. */
  async append(body: RecordBody): Promise<void> {
    for (const { address } of this.controllers) {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      try {
        await createControllerClient(address).append.mutate({ body }, { signal });
        return;
      } catch {
        // The next controller takes it; a report that is made twice changes nothing.
      }
    }
  }

  /** Folds what the log has, and reports hosts drained as a gateway without work would. */
  async follow(): Promise<void> {
    (await this.readLog(this.fleet.nextOffset)).forEach((entry) => this.fold(this.fleet, entry));
    const draining = [...this.fleet.data.hostStates].filter(
      ([, { phase, drainedBy }]) => phase === 'granted' && !drainedBy.includes('g'),
    );
    if (this.isHolding || draining.length === 0) return;
    const hosts = draining.map(([host]) => host);
    const offset = this.fleet.nextOffset;
    await this.append({ type: 'host-drained', session: 'g', hosts, offset });
  }

  isDrained(host: string): boolean {
    return this.fleet.findHostState(host)?.drainedBy.includes('g') ?? false;
  }

  async readLog(from: number): Promise<LogEntry[]> {
    const path = `/streams/fleet/entries?from=${from}&max=10000`;
    return ((await this.send('GET', path)) as { entries: LogEntry[] }).entries;
  }

  /** Folds one entry and returns it when it was accepted. */
  fold(fleet: Fleet, entry: LogEntry): RecordBody | undefined {
    const decoded = decodeRecord(entry);
    assert.ok(decoded, `broken entry of ${this.#platform}`);
    return fleet.apply(decoded).outcome === 'accepted' ? decoded.body : undefined;
  }

  list(phase: string): string[] {
    return [...this.fleet.data.hostStates]
      .filter(([, state]) => state.phase === phase)
      .map(([host]) => host);
  }

  /** Finds the rack that has the most serving hosts. */
  findFullestRack(): string[] {
    const serving = this.list('serving');
    const racks = [0, 2, 4, 6, 8, 10].map((at) => [`h${at}`, `h${at + 1}`]);
    const whole = racks.find((rack) => rack.every((host) => serving.includes(host)));
    return whole ?? serving.slice(0, 1);
  }

  async waitFor(what: string, condition: () => boolean): Promise<void> {
    const follow = async (): Promise<boolean> => {
      await this.follow();
      return condition();
    };

    await waitFor(what, follow, WAVE_DEADLINE_MS);
  }

  /** Reads the whole log again and checks every moment of it. */
  async checkLog(): Promise<{ withdrawn: string[]; ended: Set<string> }> {
    const fleet = new Fleet();
    const started: { host: string; from: number; to: number }[] = [];
    const withdrawn: string[] = [];
    const ended = new Set<string>();
    for (const entry of await this.readLog(0)) {
      const body = this.fold(fleet, entry);
      const out = HOSTS.filter((host) => {
        const state = fleet.findHostState(host);
        return state?.pool === 'a' && (state.phase !== 'serving' || state.status !== 'live');
      });
      assert.ok(out.length <= BUDGET, `offset ${entry.offset}: ${out.join(', ')} are out`);
      if (body?.type === 'maintenance-start') {
        body.hosts.forEach((host) => started.push({ host, from: entry.time, to: Infinity }));
      } else if (body?.type === 'maintenance-end') {
        body.hosts.forEach((host) => {
          ended.add(host);
          const open = started.findLast((one) => one.host === host);
          if (open) open.to = entry.time;
        });
      } else if (body?.type === 'maintenance-withdraw') withdrawn.push(...body.hosts);
    }
    const reboots = (await this.send('GET', '/reboots')) as { host: string; time: number }[];
    reboots.forEach(({ host, time }) => {
      const isOwed = started.some((one) => one.host === host && one.from <= time && time <= one.to);
      assert.ok(isOwed, `${host} was rebooted outside its maintenance`);
    });
    return { withdrawn, ended };
  }
}

describe('maintenance with controllers as separate processes', () => {
  const groups: ProcessGroup[] = [];
  after(() => Promise.all(groups.map((group) => group.close())));

  async function openDeployment(): Promise<Deployment> {
    const deployment = new Deployment();
    groups.push(deployment.group);
    await deployment.open();
    return deployment;
  }

  // Guards against a wave that stops, overruns the budget or reboots a serving host when
  // controllers freeze and die and hosts never come back.
  it('maintains every host but the lost ones through a frozen and a killed controller', async () => {
    const deployment = await openDeployment();
    const [first, second] = deployment.controllers as [StartedProcess, StartedProcess];
    await deployment.waitFor(
      'a first maintenance',
      () => deployment.list('maintenance').length > 0,
    );
    const joined = deployment.fleet.time;
    const isBack = (host: string): boolean =>
      (deployment.fleet.findHostState(host)?.maintainedAt ?? 0) > joined;
    first.child.kill('SIGSTOP');
    await deployment.waitFor('a host back while the first controller is frozen', () =>
      HOSTS.some(isBack),
    );
    first.child.kill('SIGCONT');
    await deployment.waitFor(
      'hosts in maintenance',
      () => deployment.list('maintenance').filter((host) => !LOST.includes(host)).length > 0,
    );
    second.child.kill('SIGKILL');
    const owed = HOSTS.filter((host) => !LOST.includes(host));
    await deployment.waitFor('every host but the lost ones', () => owed.every(isBack));
    const { ended } = await deployment.checkLog();
    assert.deepEqual([...ended].sort(), owed.sort());
  });

  // Guards against a wave that goes on although a rack has failed in the middle of it.
  it('withdraws grants that have not started when a rack fails', async () => {
    const deployment = await openDeployment();
    deployment.isHolding = true;
    await deployment.waitFor(
      'grants up to the budget',
      () => deployment.list('granted').length >= BUDGET - 2,
    );
    const granted = deployment.list('granted');
    const rack = deployment.findFullestRack();
    await deployment.putList(HOSTS.filter((host) => !rack.includes(host)));
    await deployment.waitFor('a withdrawal', () =>
      granted.some((host) => !deployment.list('granted').includes(host)),
    );
    const { withdrawn, ended } = await deployment.checkLog();
    assert.ok(withdrawn.length > 0);
    assert.equal(ended.size, 0);
  });
});
