import { request } from 'undici';
import { createControllerClient } from '../src/mod.js';
import { fetchObservation, ProcessMetrics } from '../src/observation/mod.js';
import type { Operation } from '../src/record/mod.js';
import { formatFigure } from './measureStep.js';
import { buildInventory, ProcessGroup, waitFor, type Started } from '../src/testing/mod.js';

const POOLS = 27;

/** What one process spends: bytes over its own TCP connections, both ways, and processor time. */
export interface Spent {
  bytesASecond: number;
  corePercent: number;
  residentMb: number;
}

/** Waits for a time. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Mean of each figure over several processes. */
function computeMean(all: Spent[]): Spent {
  const mean = (pick: (one: Spent) => number): number =>
    formatFigure(all.reduce((sum, one) => sum + pick(one), 0) / all.length);
  return {
    bytesASecond: Math.round(mean((one) => one.bytesASecond)),
    corePercent: mean((one) => one.corePercent),
    residentMb: mean((one) => one.residentMb),
  };
}

/** Builds pools that hold nine tenths of the hosts; one pool lends. */
function buildPools(hosts: number): Operation[] {
  const target = Math.floor((hosts * 0.9) / POOLS);
  const budget = Math.min(target, Math.max(5, Math.ceil(target * 0.05)));
  return Array.from({ length: POOLS }, (_, at) => ({
    action: 'put',
    kind: 'pool',
    object: {
      name: `p${at}`,
      need: target - budget,
      headroom: budget,
      availabilityBudget: budget,
      lends: at === 0,
      maintenance: { periodDays: 49 },
    },
  })) as unknown as Operation[];
}

/** Entry hosts with a gateway and a controller each, against the platform's stand-in. */
export class NodeGroup {
  readonly group = new ProcessGroup();

  readonly controllers: Started[] = [];

  readonly gateways: Started[] = [];

  platform: Started | undefined;

  /** Starts the platform and as many nodes as given, and waits for their sessions. */
  async open(nodes: number, dataCentres = 1): Promise<void> {
    this.platform = await this.group.startStandin('platform');
    await this.addNodes(nodes, dataCentres);
  }

  /** Starts the platform and controllers without gateways. */
  async openControllers(count: number): Promise<void> {
    this.platform = await this.group.startStandin('platform');
    for (let at = 0; at < count; at += 1) await this.startController();
    await this.#waitForSessions();
  }

  /** Starts a controller. */
  async startController(dataCentre = 'd1'): Promise<Started> {
    const controller = await this.group.startDaemon({
      role: 'controller',
      dataCentre,
      address: '127.0.0.1:0',
      platform: `http://${this.platform?.address}`,
      peers: this.#listFirst(),
    });
    this.controllers.push(controller);
    return controller;
  }

  /** Starts a controller that reaches the others but not the platform. */
  startCutOff(): Promise<Started> {
    return this.group.startDaemon({
      role: 'controller',
      dataCentre: 'd2',
      address: '127.0.0.1:0',
      platform: 'http://127.0.0.1:9',
      peers: this.#listFirst(),
    });
  }

  /** Starts further nodes. */
  async addNodes(nodes: number, dataCentres = 1): Promise<void> {
    if (nodes === 0) return;
    const before = this.controllers.length;
    for (let at = before; at < before + nodes; at += 1) {
      const dataCentre = `d${(at % dataCentres) + 1}`;
      const { address } = await this.startController(dataCentre);
      const gateway = await this.group.startDaemon({
        role: 'gateway',
        dataCentre,
        address: '127.0.0.1:0',
        peerAddress: '127.0.0.1:0',
        controllers: [...new Set([address, ...this.#listFirst()])],
      });
      this.gateways.push(gateway);
    }
    await this.#waitForSessions();
  }

  /** Creates a client of a controller. */
  createClient(index: number) {
    const { length } = this.controllers;
    return createControllerClient(this.controllers[index % length]?.address ?? '');
  }

  /** Sets the faults of the platform. */
  async inject(faults: object): Promise<void> {
    const url = `http://${this.platform?.address}/faults`;
    await (await request(url, { method: 'PUT', body: JSON.stringify(faults) })).body.dump();
  }

  /** Reads the head of the fleet's stream and so the number of records appended. */
  async readHead(): Promise<number> {
    const url = `http://${this.platform?.address}/streams/fleet/entries?from=0&max=1`;
    return ((await (await request(url)).body.json()) as { head: number }).head;
  }

  /** Loads an inventory with pools and lists its hosts as live; waits until no host is free to assign. */
  async loadHosts(hosts: number, dataCentres = 1): Promise<void> {
    const inventory = buildInventory(hosts, dataCentres);
    const listed = inventory.flatMap((one) =>
      one.kind === 'host' && one.action === 'put' ? [{ host: one.object.name, state: 'live' }] : [],
    );
    const url = `http://${this.platform?.address}/hosts`;
    const put = { method: 'PUT', body: JSON.stringify(listed) } as const;
    await (await request(url, put)).body.dump();
    await this.createClient(0).change.mutate({
      baseRevision: 0,
      operations: [...inventory, ...buildPools(hosts)],
      operator: 'measure',
    });
    const target = POOLS * Math.floor((hosts * 0.9) / POOLS);
    await waitFor(
      'the assignment of the hosts',
      async () => {
        const { pools } = await this.createClient(0).fleet.query();
        return pools.reduce((sum, pool) => sum + pool.hosts, 0) >= target;
      },
      60_000,
    );
  }

  /** Measures what each process spends while `run` runs, as means by role. */
  async measure(run: () => Promise<unknown>): Promise<{ gateway: Spent; controller: Spent }> {
    const all = [...this.gateways, ...this.controllers];
    const read = async ({ child, address, lines }: Started) => {
      const line = lines.find((one) => one.message === 'listening');
      const own = String(line?.peerAddress ?? address);
      const what = { path: 'metrics', schema: ProcessMetrics } as const;
      const { gauges } = await fetchObservation(own, what);
      return { gauges, pid: child.pid, at: performance.now() };
    };
    const before = await Promise.all(all.map(read));
    await run();
    const after = await Promise.all(all.map(read));
    const spent = after.map(({ gauges, at }, index): Spent => {
      const then = before[index];
      const seconds = (at - (then?.at ?? 0)) / 1_000;
      const bytes =
        gauges.bytesIn +
        gauges.bytesOut -
        (then?.gauges.bytesIn ?? 0) -
        (then?.gauges.bytesOut ?? 0);
      return {
        bytesASecond: bytes / seconds,
        corePercent: gauges.cpuShare * 100,
        residentMb: gauges.residentBytes / 2 ** 20,
      };
    });
    return {
      gateway: computeMean(spent.slice(0, this.gateways.length)),
      controller: computeMean(spent.slice(this.gateways.length)),
    };
  }

  /** Submits a change of one team a call, so many a second, for a time; returns the answers. */
  async submitChanges(aSecond: number, seconds: number): Promise<void> {
    const pending: Promise<unknown>[] = [];
    const end = performance.now() + seconds * 1_000;
    for (let index = 0; performance.now() < end; index += 1) {
      const object = { name: `t${index}`, quota: 1 };
      const operations: Operation[] = [{ action: 'put', kind: 'team', object }];
      const baseRevision = Number.MAX_SAFE_INTEGER;
      pending.push(
        this.createClient(index).change.mutate({ baseRevision, operations, operator: 'measure' }),
      );
      await pause(1_000 / aSecond);
    }
    await Promise.all(pending);
  }

  /** Ends all processes. */
  close(): Promise<void> {
    return this.group.close();
  }

  #listFirst(): string[] {
    return this.controllers.slice(0, 2).map((one) => one.address);
  }

  #waitForSessions(): Promise<unknown> {
    return waitFor('all sessions', async () => {
      const sessions = await this.createClient(0).sessions.query();
      return sessions.filter((one) => one.role === 'controller').length >= this.controllers.length;
    });
  }
}
