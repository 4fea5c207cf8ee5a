import { request } from 'undici';
import { createControllerClient } from '../src/mod.js';
import { fetchObservation, ProcessMetrics } from '../src/observation/mod.js';
import type { Operation } from '../src/record/mod.js';
import { formatFigure } from './measureStep.js';
import { buildInventory, ProcessGroup, waitFor, type StartedProcess } from '../src/testing/mod.js';

const POOLS = 27;

/** Resource usage of a process: bytes over its TCP connections in both directions, CPU and memory. */
export interface ResourceUsage {
  bytesASecond: number;
  corePercent: number;
  residentMb: number;
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Computes the mean of each figure over several processes. */
function computeMean(all: ResourceUsage[]): ResourceUsage {
  const mean = (pick: (one: ResourceUsage) => number): number =>
    formatFigure(all.reduce((sum, one) => sum + pick(one), 0) / all.length);
  return {
    bytesASecond: Math.round(mean((one) => one.bytesASecond)),
    corePercent: mean((one) => one.corePercent),
    residentMb: mean((one) => one.residentMb),
  };
}

/** Builds pools whose targets add up to nine tenths of the hosts; the first pool lends. */
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

/** Entry hosts, each with a gateway and a controller, that use the platform stand-in. */
export class NodeGroup {
  readonly group = new ProcessGroup();

  readonly controllers: StartedProcess[] = [];

  readonly gateways: StartedProcess[] = [];

  platform: StartedProcess | undefined;

  /** Starts the platform and the given number of nodes and waits for the controller sessions. */
  async open(nodes: number, dataCentres = 1): Promise<void> {
    this.platform = await this.group.startStandin('platform');
    await this.addNodes(nodes, dataCentres);
  }

  /** Starts the platform and controllers without gateways and waits for their sessions. */
  async openControllers(count: number): Promise<void> {
    this.platform = await this.group.startStandin('platform');
    for (let at = 0; at < count; at += 1) await this.startController();
    await this.#waitForSessions();
  }

  /** Starts a controller. */
  async startController(dataCentre = 'd1'): Promise<StartedProcess> {
    const controller = await this.group.startDaemon({
      role: 'controller',
      dataCentre,
      address: '127.0.0.1:0',
      platform: `http://${this.platform?.address}`,
      peers: this.#listSeedPeers(),
    });
    this.controllers.push(controller);
    return controller;
  }

  /** Starts a controller that can reach its peers but not the platform. */
  startIsolatedController(): Promise<StartedProcess> {
    return this.group.startDaemon({
      role: 'controller',
      dataCentre: 'd2',
      address: '127.0.0.1:0',
      platform: 'http://127.0.0.1:9',
      peers: this.#listSeedPeers(),
    });
  }

  /** Starts further nodes and waits for the controller sessions. */
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
        controllers: [...new Set([address, ...this.#listSeedPeers()])],
      });
      this.gateways.push(gateway);
    }
    await this.#waitForSessions();
  }

  /** Creates a client of a controller; the index wraps around the list. */
  createClient(index: number) {
    const { length } = this.controllers;
    return createControllerClient(this.controllers[index % length]?.address ?? '');
  }

  /** Sets the injected faults of the platform. */
  async inject(faults: object): Promise<void> {
    const url = `http://${this.platform?.address}/faults`;
    await (await request(url, { method: 'PUT', body: JSON.stringify(faults) })).body.dump();
  }

  /** Reads the head of the fleet stream, which is the number of appended records. */
  async readHead(): Promise<number> {
    const url = `http://${this.platform?.address}/streams/fleet/entries?from=0&max=1`;
    return ((await (await request(url)).body.json()) as { head: number }).head;
  }

  /** Loads hosts and pools, lists the hosts as live and waits until the pools have their target sizes. */
  async loadHosts(hosts: number, dataCentres = 1): Promise<void> {
    const inventory = buildInventory(hosts, dataCentres);
    const hostList = inventory.flatMap((one) =>
      one.kind === 'host' && one.action === 'put' ? [{ host: one.object.name, state: 'live' }] : [],
    );
    const url = `http://${this.platform?.address}/hosts`;
    const put = { method: 'PUT', body: JSON.stringify(hostList) } as const;
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

  /** Measures the mean resource usage by role while `run` runs. */
  async measure(
    run: () => Promise<unknown>,
  ): Promise<{ gateway: ResourceUsage; controller: ResourceUsage }> {
    const all = [...this.gateways, ...this.controllers];
    const read = async ({ child, address, lines }: StartedProcess) => {
      const line = lines.find((one) => one.message === 'listening');
      const observationAddress = String(line?.peerAddress ?? address);
      const observation = { path: 'metrics', schema: ProcessMetrics } as const;
      const { gauges } = await fetchObservation(observationAddress, observation);
      return { gauges, pid: child.pid, at: performance.now() };
    };
    const before = await Promise.all(all.map(read));
    await run();
    const after = await Promise.all(all.map(read));
    const usages = after.map(({ gauges, at }, index): ResourceUsage => {
      const previous = before[index];
      const seconds = (at - (previous?.at ?? 0)) / 1_000;
      const bytes =
        gauges.bytesIn +
        gauges.bytesOut -
        (previous?.gauges.bytesIn ?? 0) -
        (previous?.gauges.bytesOut ?? 0);
      return {
        bytesASecond: bytes / seconds,
        corePercent: gauges.cpuShare * 100,
        residentMb: gauges.residentBytes / 2 ** 20,
      };
    });
    return {
      gateway: computeMean(usages.slice(0, this.gateways.length)),
      controller: computeMean(usages.slice(this.gateways.length)),
    };
  }

  /** Submits changes of one team each at a given rate and waits for the responses. */
  async submitChanges(ratePerSecond: number, seconds: number): Promise<void> {
    const pending: Promise<unknown>[] = [];
    const end = performance.now() + seconds * 1_000;
    for (let index = 0; performance.now() < end; index += 1) {
      const object = { name: `t${index}`, quota: 1 };
      const operations: Operation[] = [{ action: 'put', kind: 'team', object }];
      const baseRevision = Number.MAX_SAFE_INTEGER;
      pending.push(
        this.createClient(index).change.mutate({ baseRevision, operations, operator: 'measure' }),
      );
      await pause(1_000 / ratePerSecond);
    }
    await Promise.all(pending);
  }

  /** Kills all processes. */
  close(): Promise<void> {
    return this.group.close();
  }

  #listSeedPeers(): string[] {
    return this.controllers.slice(0, 2).map((one) => one.address);
  }

  #waitForSessions(): Promise<unknown> {
    return waitFor('all sessions', async () => {
      const sessions = await this.createClient(0).sessions.query();
      return sessions.filter((one) => one.role === 'controller').length >= this.controllers.length;
    });
  }
}
