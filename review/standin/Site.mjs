import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { StandinMachines } from './StandinMachines.mjs';
import { StandinStore } from './StandinStore.mjs';
import { StandinWorker } from './StandinWorker.mjs';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const CALL_TIMEOUT_MS = 3_000;
const HOST_NAME = 'review.example';
const PREFIX = '/jobs/';

/** Figures of the small deployment whose site file is lande-prod.toml. */
const BOUNDS = {
  graceS: 6,
  status_s: 120,
  maxHoldMs: 10_000,
  leaseMs: 3_000,
  stopGraceMs: 900,
  migrateS: 1.5,
};
const STORE_LIMITS = { recordBytes: 262_144, requestBytes: 2_097_152 };

/** Waits for a time in ms. */
export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Finds a free port of a loopback address. */
async function findFreePort(host) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Renders the settings template as DEPLOY.md describes it, as far as the template uses it. */
function renderSettings(fields) {
  const template = readFileSync(path.join(ROOT, 'platform', 'settings.jsonc'), 'utf8');
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, name, isJson) => {
    const value = name.split('.').reduce((part, key) => part?.[key], fields);
    return isJson === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
  });
}

/** Reads the command of the node's role from the deploy file. */
function readRunCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/**
 * A small deployment on loopback addresses: the store, the machines, the workers, the operator and
 * the clients are stand-ins in this process; the nodes are the project's own processes.
 */
export class Site {
  heartbeatMs = 1_500;

  bounds = BOUNDS;

  workers = [];

  /** Start, end and acknowledgement of every run, in order. */
  runs = [];

  #jobs = new Map();

  #nodes = [];

  #lines = [];

  #startedAt = performance.now();

  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));

  /** A loopback network of its own, since the port for metrics is the same on all machines. */
  #network = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;

  #recordFile;

  constructor({ folder }) {
    this.#recordFile = path.join(folder, 'record.txt');
    this.store = new StandinStore({
      limits: STORE_LIMITS,
      record: (text) => this.record(text),
    });
    this.machines = new StandinMachines(this);
  }

  /** Adds a line to the record. */
  record(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} ${text}`);
  }

  /** Opens the stand-ins and starts the nodes. */
  async open({ pools, nodes, zones }) {
    this.pools = pools;
    this.store.write('keyed.op', 'config', this.#buildConfiguration());
    const storeAddress = await this.store.open(this.#formatHost(1));
    const machinesAddress = await this.machines.open(this.#formatHost(1));
    for (const pool of pools) {
      for (let index = 0; index < pool.workers; index += 1) {
        const worker = new StandinWorker(this, {
          id: `i-${pool.name}${String(index).padStart(4, '0')}`,
          machine: `m-${pool.name}-${index}`,
          pool: pool.name,
          zone: zones[index % zones.length],
          rack: `r1-${index % 2}`,
          capacity: pool.capacity,
          host: this.#formatHost(20 + this.workers.length),
        });
        this.workers.push(worker);
        await worker.start();
      }
    }
    for (let index = 0; index < nodes; index += 1) {
      await this.#startNode(index, { zones, storeAddress, machinesAddress });
    }
    await this.#waitForReadiness();
  }

  /** Submits a job through a node; `run` gives the run time in ms of a task by its name. */
  async submit(id, job, { run, pool, node = 0 }) {
    this.#jobs.set(id, { job, run });
    const answer = await this.call('POST', id, { pool, node, body: job });
    this.record(`client: POST ${id} to node ${node}: ${answer.status}`);
    return answer;
  }

  /** Sends a request of a client; the status is undefined if there is no answer. */
  call(method, id, { pool, node = 0, body }) {
    const { host, front } = this.#nodes[node];
    return new Promise((resolve) => {
      const request = http.request(
        {
          host,
          port: front,
          method,
          path: `${PREFIX}${pool ?? this.pools[0].name}/${id}`,
          headers: { host: HOST_NAME, 'x-buckthornreach-deadline-ms': String(CALL_TIMEOUT_MS) },
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS + 500),
        },
        (response) => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (chunk) => {
            text += chunk;
          });
          response.on('end', () => resolve({ status: response.statusCode, text }));
          response.on('error', () => resolve({ status: undefined, text }));
        },
      );
      request.on('error', () => resolve({ status: undefined, text: '' }));
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  /** Describes a task of a submitted job, for the worker that is to run it. */
  findTask(task) {
    const [id, , step] = task.split('.');
    const { job, run } = this.#jobs.get(id);
    const { cpu = 0, memMb = 0 } = job.steps[Number(step)];
    return { request: { cpu, memMb }, runMs: run(task) };
  }

  reportStart(worker, run) {
    this.record(`${worker.id}: start ${run.task} run ${run.runId} token ${run.token}`);
    this.runs.push({ type: 'start', at: performance.now(), worker: worker.id, run });
  }

  reportEnd(worker, run, how) {
    this.record(`${worker.id}: end ${run.task} run ${run.runId} ${how}`);
    this.runs.push({ type: 'end', at: performance.now(), worker: worker.id, run, how });
  }

  reportNoted(worker, run, how) {
    this.runs.push({ type: 'noted', at: performance.now(), worker: worker.id, run, how });
  }

  /** Lists the numbers of the nodes. */
  get nodes() {
    return this.#nodes.map((_node, index) => index);
  }

  /** Finds the number of the node that owns the shard by the newest record in the store. */
  findOwner() {
    const name = this.store.readNewest('keyed.work', 'owner')?.node;
    return this.#nodes.findIndex((node) => node.name === name);
  }

  /** Sends a signal to the process of a node. */
  signal(node, signal) {
    this.record(`node ${node}: ${signal}`);
    this.#nodes[node].process.kill(signal);
  }

  /** Ends all processes and writes the record. */
  async close(verdict) {
    this.#nodes.forEach(({ process }) => {
      process.kill('SIGCONT');
      process.kill('SIGKILL');
    });
    await Promise.all(this.#nodes.map(({ ended }) => ended));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    this.machines.close();
    this.record(verdict);
    writeFileSync(this.#recordFile, `${this.#lines.join('\n')}\n`);
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true });
    else process.stdout.write(`logs in ${this.#folder}\n`);
    process.stdout.write(`${verdict}\n`);
  }

  #formatHost(number) {
    return `${this.#network}.${number}`;
  }

  #buildConfiguration() {
    return {
      version: 1,
      routes: this.pools.map(({ name }) => ({
        name: `queue-${name}`,
        host: HOST_NAME,
        pathPrefix: `${PREFIX}${name}/`,
        kind: 'non_idempotent',
        service: name,
        priority: 0,
        maxAttempts: 4,
        stretch: 1.6,
        targetLatencyMs: 600,
        timeoutMs: 3_000,
      })),
      services: this.pools.map(({ name }) => ({
        name,
        rejectsOverload: true,
        standby: false,
        maxConns: 64,
      })),
      limits: {},
    };
  }

  async #startNode(index, { zones, storeAddress, machinesAddress }) {
    const host = this.#formatHost(2 + index);
    const name = `front-${index}`;
    const front = await findFreePort(host);
    const ready = await findFreePort(host);
    const settings = path.join(this.#folder, `${name}.jsonc`);
    const fields = {
      nodeName: name,
      zone: zones[index % zones.length],
      ip: host,
      limits: { cpuShare: 0.675, cores: 1 },
      listen: { front: `${host}:${front}`, ready: `${host}:${ready}` },
      internalPorts: [await findFreePort(host)],
      platform: { address: storeAddress },
      cloudApi: { address: machinesAddress },
      advice: null,
      heartbeatMs: this.heartbeatMs,
      bounds: this.bounds,
    };
    writeFileSync(settings, renderSettings(fields));
    const [, ...words] = readRunCommand();
    const child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.#folder, BUCKTHORNREACH_CONFIG: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = [];
    [child.stdout, child.stderr].forEach((stream) => {
      stream.setEncoding('utf8');
      stream.on('data', (text) => log.push(text));
    });
    const ended = new Promise((resolve) => {
      child.once('exit', () => {
        if (process.env.KEEP_LOGS !== undefined)
          writeFileSync(path.join(this.#folder, `${name}.log`), log.join(''));
        resolve();
      });
    });
    this.#nodes.push({ name, host, front, ready, process: child, ended, log });
  }

  async #waitForReadiness() {
    const until = performance.now() + 30_000;
    for (;;) {
      const statuses = await Promise.all(
        this.#nodes.map(
          ({ host, ready }) =>
            new Promise((resolve) => {
              http
                .get({ host, port: ready, path: '/buckthornreach/ready' }, (response) => {
                  response.resume();
                  resolve(response.statusCode);
                })
                .on('error', () => resolve(undefined));
            }),
        ),
      );
      if (statuses.every((status) => status === 200) && this.findOwner() >= 0) break;
      if (performance.now() > until) throw new Error('the nodes did not become ready');
      await wait(100);
    }
    // The owner also lists the workers and raises its token there.
    await wait(2_000);
    this.record('the nodes are ready');
  }
}
