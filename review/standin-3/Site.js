import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { AdviceServer } from './AdviceServer.js';
import { openServer, readBody, sendJson, StoreServer, waitMs } from './StoreServer.js';
import { Worker } from './Worker.js';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
/** Bounds of the example on the page on deployment. */
export const BOUNDS = {
  contactMs: 3_000,
  graceS: 6,
  statusS: 120,
  maxHoldMs: 10_000,
  stopGraceMs: 900,
  leaseMs: 3_000,
  migrateS: 1.5,
  maintenanceS: 2,
  heartbeatMs: 1_500,
};
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Finds a port that is free on a loopback address. */
async function findFreePort(host) {
  const server = createServer();
  const address = await openServer(server, host);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return Number(address.split(':')[1]);
}

/** Waits until a condition holds; throws after a time limit in ms. */
export async function waitFor(what, limitMs, check) {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await check()) return;
    await waitMs(25);
  }
  throw new Error(`no ${what} after ${limitMs} ms`);
}

/** Sends a request to a node; the status is undefined without a complete response. */
export function callNode(
  { listen },
  method,
  { path: target, host = 'jobs.example', body, limitMs = 3_000 },
) {
  const [address, port] = listen.callers.split(':');
  return new Promise((resolve) => {
    const request = sendRequest(
      {
        host: address,
        port,
        method,
        path: target,
        agent: false,
        headers: {
          host,
          'x-buckthornreach-deadline-ms': String(limitMs),
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
      },
      (response) => {
        readBody(response).then(
          (bytes) => resolve({ status: response.statusCode, body: bytes.toString('utf8') }),
          () => resolve({ status: undefined, body: '' }),
        );
      },
    );
    const timer = setTimeout(() => request.destroy(), limitMs);
    request.once('close', () => clearTimeout(timer));
    request.once('error', () => resolve({ status: undefined, body: '' }));
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/**
 * A small deployment on loopback addresses: the platform's store and machines, workers, and node
 * processes that are started with the command of the deploy file.
 */
export class Site {
  #folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));

  #startedAt = performance.now();

  #lines = [];

  #workerCount = 0;

  #cloud = createServer((request, response) => {
    this.#serveCloud(request, response).catch(() => response.destroy());
  });

  store = new StoreServer();

  /** Machines by name, with the life of the worker on each. */
  machines = new Map();

  nodes = [];

  /** Starts and ends of runs on workers. */
  runs = [];

  /** Orders for machines that the platform has received. */
  machineOrders = [];

  /** Delay in ms of each answer of the machine service. */
  cloudDelayMs = 4;

  constructor({ recordFile }) {
    this.recordFile = recordFile;
    /** Called with each order for a machine when it arrives. */
    this.onMachineOrder = () => undefined;
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Sets the delay in ms of each answer of the machine service. */
  setCloudDelay(delayMs) {
    this.cloudDelayMs = delayMs;
  }

  /** Sets what is called with each order for a machine when it arrives. */
  setOrderListener(listener) {
    this.onMachineOrder = listener;
  }

  /** Adds a line to the record of the case. */
  record(text) {
    this.#lines.push(`${(this.nowMs / 1_000).toFixed(3)} ${text}`);
  }

  /** `advicePolicy` is that of all queues, if they have one. */
  async open({ nodes, machines, routes, services, advicePolicy }) {
    await this.store.open('127.0.0.2');
    if (advicePolicy !== undefined) {
      this.advice = new AdviceServer({
        policy: advicePolicy,
        record: (text) => this.record(text),
      });
      await this.advice.open('127.0.0.4');
    }
    this.cloudAddress = await openServer(this.#cloud, '127.0.0.3');
    this.store.write('keyed.op', 'config', JSON.stringify({ version: 1, routes, services }));
    for (const [index, { service, capacity }] of machines.entries()) {
      const name = `m-${index}`;
      const machine = { name, index, pool: service, capacity, state: 'up', token: 0, waves: [] };
      this.machines.set(name, machine);
      await this.#startWorker(machine);
    }
    for (let index = 0; index < nodes; index += 1) await this.#prepareNode(index);
    this.nodes.forEach((node) => this.startNode(node));
    await waitFor('ready nodes', 20_000, async () => {
      const ready = await Promise.all(this.nodes.map((node) => Site.isReady(node)));
      return ready.every(Boolean);
    });
    this.record(`${nodes} nodes are ready, ${machines.length} machines`);
  }

  async #prepareNode(index) {
    const host = `127.0.0.${11 + index}`;
    const ports = [];
    for (let one = 0; one < 4; one += 1) ports.push(await findFreePort(host));
    const [callers, readiness, metrics, peer] = ports;
    const name = `front-${index + 1}`;
    const settings = {
      node: name,
      dataCentre: ZONES[index % ZONES.length],
      address: host,
      cpuShare: 0.675,
      cpuSpeed: 1,
      listen: {
        callers: `${host}:${callers}`,
        readiness: `${host}:${readiness}`,
        metrics: `${host}:${metrics}`,
      },
      peerPort: peer,
      storeAddress: this.store.address,
      machinesAddress: this.cloudAddress,
      adviceAddress: this.advice?.address ?? null,
      heartbeatMs: BOUNDS.heartbeatMs,
      stopGraceSeconds: BOUNDS.graceS,
      retentionSeconds: BOUNDS.statusS,
      maxLeaseMs: BOUNDS.maxHoldMs,
      stopMs: BOUNDS.stopGraceMs,
      machineLeaseMs: BOUNDS.leaseMs,
      ingress: {},
      overloadPolicy: 'least-work',
      moveSeconds: BOUNDS.migrateS,
    };
    const file = path.join(this.#folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    const { listen } = settings;
    this.nodes.push({ name, file, listen, process: undefined, log: [], ends: 0 });
  }

  /** Starts the process of a node with the command of the deploy file. */
  startNode(node) {
    const deploy = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
    const words = /^run = "(.+)"$/m.exec(deploy)[1].split(' ');
    const child = spawn(words[0], words.slice(1), {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BUCKTHORNREACH_CONFIG: node.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    Object.assign(node, { process: child, isExpectedToEnd: false });
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (text) => node.log.push(String(text))),
    );
    child.once('exit', (code, signal) => {
      if (node.process !== child) return;
      Object.assign(node, { process: undefined });
      if (node.isExpectedToEnd) return;
      Object.assign(node, { ends: node.ends + 1 });
      this.record(`${node.name} ended by itself: code ${code}, signal ${signal}`);
      // The platform starts a process that has ended again after a short delay.
      if (!this.isClosing) setTimeout(() => !this.isClosing && this.startNode(node), 500);
    });
  }

  /** Kills the process of a node. */
  killNode(node) {
    this.record(`SIGKILL to ${node.name}`);
    Object.assign(node, { isExpectedToEnd: true });
    node.process?.kill('SIGKILL');
  }

  static async isReady({ listen }) {
    const { status } = await callNode({ listen: { callers: listen.readiness } }, 'GET', {
      path: '/buckthornreach/ready',
    });
    return status === 200;
  }

  /** Finds the node that owns the shard, from the newest record of the product's work log. */
  findOwner() {
    const text = this.store.find('keyed.work', 'owner');
    const owner = text === undefined ? undefined : JSON.parse(text);
    return this.nodes.find(({ name }) => name === owner?.node);
  }

  async #startWorker(machine) {
    this.#workerCount += 1;
    const id = `i-${String(this.#workerCount).padStart(8, '0')}`;
    const worker = new Worker({
      id,
      host: `127.0.1.${1 + machine.index}`,
      port: machine.port,
      service: machine.pool,
      zone: ZONES[machine.index % ZONES.length],
      labels: ['a', `r${Math.floor(machine.index / 4)}-1`],
      capacity: machine.capacity,
      machine: machine.name,
      maxHoldMs: BOUNDS.maxHoldMs,
      heartbeatMs: BOUNDS.heartbeatMs,
      store: this.store,
      advice: this.advice,
      report: (event) => this.runs.push({ atMs: this.nowMs, ...event }),
    });
    Object.assign(machine, { worker, state: 'up' });
    await worker.open();
    Object.assign(machine, { port: Number(worker.address.split(':')[1]) });
  }

  async #serveCloud(request, response) {
    const body = await readBody(request);
    if (request.method === 'GET') {
      await waitMs(this.cloudDelayMs);
      const machines = [...this.machines.values()].map((machine) => {
        const { name, pool, state, worker, capacity, index } = machine;
        const zone = ZONES[index % ZONES.length];
        const id = state === 'up' ? worker.options.id : undefined;
        return { machine: name, pool, state, zone, labels: ['a'], capacity, id };
      });
      sendJson(response, 200, { machines, nextToken: null });
      return;
    }
    const fields = JSON.parse(body.toString('utf8'));
    const holder = request.headers['x-buckthornreach-lease-holder'];
    const token = Number(request.headers['x-buckthornreach-fencing-token']);
    const order = { atMs: this.nowMs, holder, token, ...fields };
    this.machineOrders.push(order);
    this.record(
      `order for ${fields.machine} by ${holder}, token ${token}: ${JSON.stringify(fields)}`,
    );
    this.onMachineOrder(order);
    await waitMs(this.cloudDelayMs);
    // A call whose connection has ended meanwhile is not executed.
    if (response.destroyed) return;
    const { status, answer } = this.#changeMachine(fields, token);
    this.record(`answer for ${fields.machine} to ${holder}: ${status} ${JSON.stringify(answer)}`);
    sendJson(response, status, answer);
  }

  #changeMachine({ machine: name, pool, wave }, token) {
    const machine = this.machines.get(name);
    if (machine === undefined) return { status: 400, answer: {} };
    if (token < machine.token) return { status: 409, answer: { reason: 'fence' } };
    machine.token = token;
    const isDone = wave === undefined ? machine.pool === pool : machine.waves.includes(wave);
    if (isDone) return { status: 200, answer: {} };
    if (machine.state !== 'up') return { status: 409, answer: { reason: 'busy' } };
    machine.worker.close();
    machine.state = wave === undefined ? 'moving' : 'upkeep';
    if (wave === undefined) machine.pool = pool;
    else machine.waves.push(wave);
    const seconds = wave === undefined ? BOUNDS.migrateS : BOUNDS.maintenanceS;
    setTimeout(() => !this.isClosing && this.#startWorker(machine), 1_000 * seconds);
    return { status: 200, answer: {} };
  }

  /** Ends all processes and servers, and writes the record. */
  close() {
    if (this.isClosing) return;
    this.isClosing = true;
    this.nodes.forEach((node) => {
      Object.assign(node, { isExpectedToEnd: true });
      node.process?.kill('SIGKILL');
    });
    writeFileSync(this.recordFile, `${this.#lines.join('\n')}\n`);
    rmSync(this.#folder, { recursive: true, force: true });
    this.machines.forEach(({ worker }) => worker?.isAlive && worker.close());
    this.store.close();
    this.advice?.close();
    this.#cloud.close();
    this.#cloud.closeAllConnections();
  }
}

/** Maximum time in ms of a case, below the 120 s that it may take. */
const MAX_CASE_MS = 112_000;

/** Plays a case: exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run. */
export async function runCase(folder, play) {
  const site = new Site({ recordFile: path.join(folder, 'record.txt') });
  const finish = (code, text) => {
    if (site.isClosing) return;
    site.record(text);
    process.exitCode = code;
    site.close();
  };
  const giveUp = (reason) => finish(2, `the case could not run: ${reason}`);
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => giveUp(signal)));
  setTimeout(() => giveUp('it took too long'), MAX_CASE_MS).unref();
  try {
    const findings = await play(site, process.env.TROUBLE !== '0');
    findings.forEach((finding) => site.record(`BROKEN: ${finding}`));
    if (findings.length > 0) finish(1, 'the rule was broken');
    else finish(0, 'the rule held');
  } catch (error) {
    giveUp(error.message);
  }
}
