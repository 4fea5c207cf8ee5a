import { request } from 'undici';
import type { Operation } from '../record/mod.js';
import { createControllerClient } from '../controller/mod.js';
import { ProcessStatus } from '../fleet/mod.js';
import { fetchObservation } from '../observation/mod.js';
import type { UpstreamBehaviour, UpstreamCounts } from '../standin/mod.js';
import { findFreeAddress } from './findFreeAddress.js';
import { ProcessGroup, type StartedProcess } from './ProcessGroup.js';
import { waitFor } from './waitFor.js';

/** An entry host: a controller and a gateway whose fixed addresses survive a restart. */
export interface EntryHost {
  dataCentre: string;
  controller: StartedProcess;
  gateway: StartedProcess;
  controllerSettings: { address: string };
  gatewaySettings: { address: string; peerAddress: string };
}

/** Addresses at which an entry host reaches the other processes. */
export interface EntryHostLinks {
  /** Address of the platform. */
  platform: string;
  /** Controllers of other entry hosts. */
  peers: string[];
}

/** Settings of the daemons that differ from the defaults. */
export interface EntryHostOverrides {
  controller?: object;
  gateway?: object;
}

/** A platform, upstream hosts and entry hosts as processes on loopback. */
export class TestCluster {
  readonly group = new ProcessGroup();

  readonly hosts: EntryHost[] = [];

  readonly upstreams = new Map<string, StartedProcess>();

  platform = '';

  /** Starts the platform stand-in. */
  async open(): Promise<void> {
    this.platform = (await this.group.startStandin('platform')).address;
  }

  /** Starts an upstream stand-in and returns its address. */
  async startUpstream(name: string): Promise<string> {
    const started = await this.group.startStandin('upstream', name);
    this.upstreams.set(name, started);
    return started.address;
  }

  /** Starts the controller and the gateway of an entry host. */
  async startEntryHost(
    dataCentre: string,
    links: EntryHostLinks,
    overrides: EntryHostOverrides = {},
  ): Promise<EntryHost> {
    const controllerSettings = {
      role: 'controller',
      dataCentre,
      address: await findFreeAddress(),
      platform: `http://${links.platform}`,
      peers: links.peers,
      ...overrides.controller,
    };
    const gatewaySettings = {
      role: 'gateway',
      dataCentre,
      address: await findFreeAddress(),
      peerAddress: await findFreeAddress(),
      controllers: [controllerSettings.address, ...links.peers],
      stopNoticeMs: 200,
      ...overrides.gateway,
    };
    const controller = await this.group.startDaemon(controllerSettings);
    const gateway = await this.group.startDaemon(gatewaySettings);
    const host = { dataCentre, controller, gateway, controllerSettings, gatewaySettings };
    this.hosts.push(host);
    return host;
  }

  /** Kills both daemons of an entry host and starts them again at the same addresses. */
  async replace(host: EntryHost): Promise<void> {
    await this.group.kill(host.controller);
    await this.group.kill(host.gateway);
    Object.assign(host, {
      controller: await this.group.startDaemon(host.controllerSettings),
      gateway: await this.group.startDaemon(host.gatewaySettings),
    });
  }

  /** Applies operations through an entry host and returns the revision in force. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- part of the cluster interface.
  async apply(host: EntryHost, operations: Operation[]): Promise<number> {
    const client = createControllerClient(host.controller.address);
    const { revision } = await client.status.query();
    const answer = await client.change.mutate({
      baseRevision: revision,
      operations,
      operator: 'test',
    });
    if (answer.verdict.outcome !== 'accepted') throw new Error(JSON.stringify(answer.verdict));
    return answer.revision;
  }

  /** Injects faults into the platform. */
  async injectFaults(faults: object): Promise<void> {
    const answer = await request(`http://${this.platform}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await answer.body.dump();
  }

  /** Sets the behaviour of an upstream. */
  async setBehaviour(name: string, behaviour: Partial<UpstreamBehaviour>): Promise<void> {
    const address = this.upstreams.get(name)?.address ?? '';
    const answer = await request(`http://${address}/standin/behaviour`, {
      method: 'PUT',
      body: JSON.stringify(behaviour),
    });
    await answer.body.dump();
  }

  /** Reads the counters of each upstream. */
  async readCounts(): Promise<Map<string, UpstreamCounts>> {
    const counts = new Map<string, UpstreamCounts>();
    await Promise.all(
      [...this.upstreams].map(async ([name, { address }]) => {
        const answer = await request(`http://${address}/standin/counts`);
        counts.set(name, (await answer.body.json()) as UpstreamCounts);
      }),
    );
    return counts;
  }

  /** Sums the runs of each idempotency key over all upstreams. */
  async countRuns(): Promise<Record<string, number>> {
    const runs: Record<string, number> = {};
    (await this.readCounts()).forEach((counts) => {
      Object.entries(counts.runsByKey).forEach(([key, count]) => {
        runs[key] = (runs[key] ?? 0) + count;
      });
    });
    return runs;
  }

  /** Reads the status of every process; undefined if the process does not respond. */
  readStatuses(hosts = this.hosts): Promise<(ProcessStatus | undefined)[]> {
    const addresses = hosts.flatMap((host) => [
      host.controllerSettings.address,
      host.gatewaySettings.peerAddress,
    ]);
    const observation = { path: 'status', schema: ProcessStatus } as const;
    return Promise.all(
      addresses.map((address) => fetchObservation(address, observation).catch(() => undefined)),
    );
  }

  /** Waits until every process has a revision in force. */
  async waitForRevision(revision: number, hosts = this.hosts): Promise<void> {
    await waitFor(
      `revision ${revision} in force everywhere`,
      async () => {
        const statuses = await this.readStatuses(hosts);
        return statuses.every((status) => (status?.revision ?? -1) >= revision);
      },
      40_000,
    );
  }

  /** Ends all processes. */
  close(): Promise<void> {
    return this.group.close();
  }
}
