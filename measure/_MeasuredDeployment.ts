import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import path from 'node:path';
import { request } from 'undici';
import { ProcessGroup, waitFor, type StartedProcess } from '../src/testing/mod.js';

/** A service of the measured deployment. */
export interface MeasuredService {
  name: string;
  addresses: string[];
}

/** Runs upstream stand-ins, a controller and gateways as child processes. */
export class MeasuredDeployment {
  readonly #group = new ProcessGroup();

  readonly #children: ChildProcess[] = [];

  services: MeasuredService[] = [];

  #controller: StartedProcess | undefined;

  /**
   * Starts the platform, a controller and the services, and applies their configuration. The hosts
   * of a service share a process.
   */
  async open(services: string[], options: { hosts: number; serviceMs: number }): Promise<void> {
    const platform = await this.#group.startStandin('platform');
    this.#controller = await this.#group.startDaemon({
      role: 'controller',
      dataCentre: 'dc',
      address: '127.0.0.1:0',
      platform: `http://${platform.address}`,
    });
    this.services = await Promise.all(
      services.map(async (name) => {
        const args = [String(options.hosts), String(options.serviceMs)];
        const addresses = (await this.run('_upstreams', args)) as string[];
        return { name, addresses };
      }),
    );
    const fleet = {
      dataCentres: [{ name: 'dc', region: 'loopback' }],
      hosts: this.services.flatMap(({ name, addresses }) =>
        addresses.map((address, index) => ({
          name: `${name}-${index}`,
          dataCentre: 'dc',
          rack: `r${index}`,
          address,
        })),
      ),
      pools: services.map((name) => ({ name, need: options.hosts, guardRackLoss: false })),
      services: services.map((name) => ({ name, pathPrefix: `/${name}`, pool: name })),
    };
    const file = this.#group.writeFile('fleet.json', JSON.stringify(fleet));
    const { address } = this.#controller;
    const applied = await this.#group.runCommand('apply', file, '--controller', address);
    if (applied.code !== 0) throw new Error(applied.stderr);
  }

  /** Starts a gateway, waits until every service responds and returns its address. */
  async startGateway(admission: 'fair' | 'fifo'): Promise<string> {
    const { address } = await this.#group.startDaemon({
      role: 'gateway',
      dataCentre: 'dc',
      address: '127.0.0.1:0',
      peerAddress: '127.0.0.1:0',
      controllers: [this.#controller?.address],
      admission,
    });
    await Promise.all(
      this.services.map(({ name }) =>
        waitFor(`service ${name}`, async () => {
          const { statusCode, body } = await request(`http://${address}/${name}`);
          await body.dump();
          return statusCode === 200;
        }),
      ),
    );
    return address;
  }

  /** Runs a module of this folder as a child process and returns its first message. */
  async run(module: string, args: string[]): Promise<unknown> {
    const child = fork(path.join(import.meta.dirname, `${module}.js`), args);
    this.#children.push(child);
    const [message] = await once(child, 'message');
    return message;
  }

  /** Kills all processes. */
  async close(): Promise<void> {
    this.#children.forEach((child) => child.kill('SIGKILL'));
    await this.#group.close();
  }
}
