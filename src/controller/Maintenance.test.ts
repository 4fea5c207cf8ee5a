import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { request } from 'undici';
import { Fleet } from '../fleet/mod.js';
import { decodeRecord, type LogEntry, type Operation, type RecordBody } from '../record/mod.js';
import { ProcessGroup, waitFor, type StartedProcess } from '../testing/mod.js';
import { createControllerClient } from './ControllerClient.js';

const HOSTS = Array.from({ length: 12 }, (_, index) => `h${index}`);
const LOST_HOSTS = ['h0', 'h7'];
const AVAILABILITY_BUDGET = 8;
const CALL_TIMEOUT_MS = 3_000;
/**
 * A lost reboot is repeated after one minute. Two in a row may be lost, one when a controller is
 * suspended and one when a controller is killed, and each wave in between takes about 15 s.
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
      availabilityBudget: AVAILABILITY_BUDGET,
      // About 17 s, so that hosts become due again and the wave does not end during the test.
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

/** A platform stand-in, two controllers, and a gateway session whose records the test appends. */
class Deployment {
  readonly group = new ProcessGroup();

  readonly controllers: StartedProcess[] = [];

  /** Whether the gateway withholds its reports of drained hosts. */
  isWithholdingReports = false;

  fleet = new Fleet();

  #platform = '';

  async open(): Promise<void> {
    this.#platform = `http://${(await this.group.startStandin('platform')).address}`;
    await this.send('PUT', '/faults', { rebootMs: 6_000, lostHosts: LOST_HOSTS });
    await this.putHostList(HOSTS);
    const settings = { role: 'controller', dataCentre: 'd1', address: '127.0.0.1:0' };
    for (let count = 0; count < 2; count += 1) {
      const platform = this.#platform;
      this.controllers.push(await this.group.startDaemon({ ...settings, platform }));
    }
    const [{ address }] = this.controllers as [StartedProcess];
    const change = { baseRevision: 0, operations: OPERATIONS, operator: 'test' };
    const { verdict } = await createControllerClient(address).change.mutate(change);
    assert.equal(verdict.outcome, 'accepted');
    const addresses = { address: '10.9.0.1:80', peerAddress: '10.9.0.1:81' };
    await this.append({
      type: 'session-open',
      session: 'g',
      role: 'gateway',
      dataCentre: 'd1',
      ...addresses,
    });
  }

  async send(method: 'GET' | 'PUT', path: string, body?: object): Promise<unknown> {
    const text = body === undefined ? null : JSON.stringify(body);
    const answer = await request(`${this.#platform}${path}`, { method, body: text });
    return answer.body.json();
  }

  async putHostList(hosts: string[]): Promise<void> {
    const list = hosts.map((host) => ({ host, state: 'live' }));
    await this.send('PUT', '/hosts', list);
  }

  /** Appends a record through the first controller that responds. */
  async append(body: RecordBody): Promise<void> {
    for (const { address } of this.controllers) {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      try {
        await createControllerClient(address).append.mutate({ body }, { signal });
        return;
      } catch {
        // Tries the next controller; a repeated report has no effect.
      }
    }
  }

  /**
   * Applies new log entries and reports granted hosts as drained, like a gateway without requests.
   */
  async follow(): Promise<void> {
    (await this.readLog(this.fleet.nextOffset)).forEach((entry) =>
      this.applyEntry(this.fleet, entry),
    );
    const draining = [...this.fleet.data.hostStates].filter(
      ([, { phase, drainedBy }]) => phase === 'granted' && !drainedBy.includes('g'),
    );
    if (this.isWithholdingReports || draining.length === 0) return;
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

  /** Applies one entry and returns its body if it was accepted. */
  applyEntry(fleet: Fleet, entry: LogEntry): RecordBody | undefined {
    const decoded = decodeRecord(entry);
    assert.ok(decoded, `undecodable entry of ${this.#platform}`);
    return fleet.apply(decoded).outcome === 'accepted' ? decoded.body : undefined;
  }

  list(phase: string): string[] {
    return [...this.fleet.data.hostStates]
      .filter(([, state]) => state.phase === phase)
      .map(([host]) => host);
  }

  /** Finds a rack whose hosts are all serving, or else a single serving host. */
  findServingRack(): string[] {
    const serving = this.list('serving');
    const racks = [0, 2, 4, 6, 8, 10].map((at) => [`h${at}`, `h${at + 1}`]);
    const fullRack = racks.find((rack) => rack.every((host) => serving.includes(host)));
    return fullRack ?? serving.slice(0, 1);
  }

  async waitFor(what: string, condition: () => boolean): Promise<void> {
    const follow = async (): Promise<boolean> => {
      await this.follow();
      return condition();
    };

    await waitFor(what, follow, WAVE_DEADLINE_MS);
  }

  /** Replays the log; checks the budget after each entry and that reboots were in maintenance. */
  async checkLog(): Promise<{ withdrawn: string[]; ended: Set<string> }> {
    const fleet = new Fleet();
    const started: { host: string; from: number; to: number }[] = [];
    const withdrawn: string[] = [];
    const ended = new Set<string>();
    for (const entry of await this.readLog(0)) {
      const body = this.applyEntry(fleet, entry);
      const unavailableHosts = HOSTS.filter((host) => {
        const state = fleet.findHostState(host);
        return state?.pool === 'a' && (state.phase !== 'serving' || state.status !== 'live');
      });
      assert.ok(
        unavailableHosts.length <= AVAILABILITY_BUDGET,
        `offset ${entry.offset}: ${unavailableHosts.join(', ')} are unavailable`,
      );
      if (body?.type === 'maintenance-start') {
        body.hosts.forEach((host) => started.push({ host, from: entry.time, to: Infinity }));
      } else if (body?.type === 'maintenance-end') {
        body.hosts.forEach((host) => {
          ended.add(host);
          const period = started.findLast((candidate) => candidate.host === host);
          if (period) period.to = entry.time;
        });
      } else if (body?.type === 'maintenance-withdraw') withdrawn.push(...body.hosts);
    }
    const reboots = (await this.send('GET', '/reboots')) as { host: string; time: number }[];
    reboots.forEach(({ host, time }) => {
      const isInMaintenance = started.some(
        (period) => period.host === host && period.from <= time && time <= period.to,
      );
      assert.ok(isInMaintenance, `${host} was rebooted outside its maintenance`);
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

  // Guards against a wave that stops, exceeds the availability budget or reboots a serving host
  // when one controller is suspended, another is killed and some hosts never return.
  it('maintains every host but the lost ones through a frozen and a killed controller', async () => {
    const deployment = await openDeployment();
    const [first, second] = deployment.controllers as [StartedProcess, StartedProcess];
    await deployment.waitFor(
      'a first maintenance',
      () => deployment.list('maintenance').length > 0,
    );
    const startTime = deployment.fleet.time;
    const isMaintained = (host: string): boolean =>
      (deployment.fleet.findHostState(host)?.maintainedAt ?? 0) > startTime;
    first.child.kill('SIGSTOP');
    await deployment.waitFor('a maintained host while the first controller is suspended', () =>
      HOSTS.some(isMaintained),
    );
    first.child.kill('SIGCONT');
    await deployment.waitFor(
      'hosts in maintenance',
      () => deployment.list('maintenance').filter((host) => !LOST_HOSTS.includes(host)).length > 0,
    );
    second.child.kill('SIGKILL');
    const returningHosts = HOSTS.filter((host) => !LOST_HOSTS.includes(host));
    await deployment.waitFor('every host but the lost ones', () =>
      returningHosts.every(isMaintained),
    );
    const { ended } = await deployment.checkLog();
    assert.deepEqual([...ended].sort(), returningHosts.sort());
  });

  // Guards against a wave that continues after a rack has failed.
  it('withdraws grants that have not started when a rack fails', async () => {
    const deployment = await openDeployment();
    deployment.isWithholdingReports = true;
    await deployment.waitFor(
      'grants up to the budget',
      () => deployment.list('granted').length >= AVAILABILITY_BUDGET - 2,
    );
    const granted = deployment.list('granted');
    const rack = deployment.findServingRack();
    await deployment.putHostList(HOSTS.filter((host) => !rack.includes(host)));
    await deployment.waitFor('a withdrawal', () =>
      granted.some((host) => !deployment.list('granted').includes(host)),
    );
    const { withdrawn, ended } = await deployment.checkLog();
    assert.ok(withdrawn.length > 0);
    assert.equal(ended.size, 0);
  });
});
