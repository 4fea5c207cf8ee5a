import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { wait } from './Platform.mjs';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const READY_TIMEOUT_MS = 15_000;
const STOP_LIMIT_MS = 6_000;

/** Bounds of the site lande-prod. */
const BOUNDS = {
  graceS: 6,
  status_s: 120,
  maxHoldMs: 10_000,
  stopGraceMs: 900,
  leaseMs: 3_000,
  migrateS: 1.5,
};

/** Finds a free port of a loopback address. */
function findFreePort(ip) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Fills in the template of the deploy file as far as this project uses placeholders. */
function renderTemplate(text, fields) {
  const find = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_whole, name, json) =>
    json === undefined ? String(find(name)) : JSON.stringify(find(name) ?? null),
  );
}

/** Node processes of the project, started as the deploy file says. */
export class Fleet {
  #platform;

  #nodes = new Map();

  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));

  #command;

  constructor(platform) {
    this.#platform = platform;
    const deploy = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
    this.#command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  }

  /** Prepares a node; its process is not started yet. */
  async add(name, zone) {
    // Each script has loopback addresses of its own, since the template fixes the port for metrics.
    const ip = `127.${1 + (Math.floor(process.pid / 250) % 250)}.${process.pid % 250}.${20 + this.#nodes.size}`;
    const address = await this.#platform.openNode(name);
    const front = `${ip}:${await findFreePort(ip)}`;
    const ready = `${ip}:${await findFreePort(ip)}`;
    const template = readFileSync(path.join(ROOT, 'platform', 'settings.jsonc'), 'utf8');
    const settings = path.join(this.#folder, `${name}.jsonc`);
    const fields = {
      nodeName: name,
      zone,
      ip,
      limits: { cpuShare: 0.675, cores: 1 },
      listen: { front, ready },
      internalPorts: [await findFreePort(ip)],
      platform: { address },
      cloudApi: { address },
      advice: address,
      heartbeatMs: 1_500,
      bounds: BOUNDS,
    };
    writeFileSync(settings, renderTemplate(template, fields));
    this.#nodes.set(name, { name, zone, front, ready, settings, log: [], child: undefined });
  }

  get names() {
    return [...this.#nodes.keys()];
  }

  /** Starts the process of a node. */
  start(name) {
    const node = this.#nodes.get(name);
    const [program, ...words] = this.#command;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, BUCKTHORNREACH_CONFIG: node.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    [child.stdout, child.stderr].forEach((stream) => {
      stream.setEncoding('utf8');
      stream.on('data', (text) => node.log.push(text));
    });
    child.once('exit', (code, signal) => {
      this.#platform.record('node-exit', { node: name, code, signal });
      if (node.child === child) node.child = undefined;
    });
    this.#platform.record('node-start', { node: name });
  }

  /** Stops a node as the platform does: SIGTERM, and SIGKILL after the grace period. */
  async stop(name) {
    const { child } = this.#nodes.get(name);
    if (child === undefined) return;
    this.#platform.record('sigterm', { node: name });
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_LIMIT_MS);
    await exited;
    clearTimeout(timer);
  }

  /** Kills a node. */
  kill(name) {
    this.#platform.record('sigkill', { node: name });
    this.#nodes.get(name).child?.kill('SIGKILL');
  }

  isRunning(name) {
    return this.#nodes.get(name).child !== undefined;
  }

  readLog(name) {
    return this.#nodes.get(name).log.join('');
  }

  /** Asks a node whether it is ready, as the platform does. */
  async isReady(name) {
    const { ready } = this.#nodes.get(name);
    const { status } = await Fleet.#send(ready, { method: 'GET', path: '/buckthornreach/ready' });
    return status === 200;
  }

  /** Waits until nodes are ready. */
  async waitForReady(names = this.names) {
    const limit = performance.now() + READY_TIMEOUT_MS;
    for (const name of names) {
      while (!(await this.isReady(name))) {
        if (performance.now() > limit) throw new Error(`${name} is not ready`);
        await wait(50);
      }
    }
  }

  /** Finds the node that owns the shard, by the store. */
  findOwner() {
    return this.#platform.store.find('keyed.work', 'owner')?.node;
  }

  /** Sends a request of a client and records it; `leaveMs` is when the client leaves. */
  async call(name, { method, path: target, host, body, leaveMs = 3_000, headers = {} }) {
    const { front } = this.#nodes.get(name);
    const result = await Fleet.#send(front, {
      method,
      path: target,
      headers: {
        host,
        'content-type': 'application/json',
        'x-buckthornreach-deadline-ms': '3000',
        ...headers,
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      leaveMs,
    });
    const { status, text } = result;
    this.#platform.record('client', {
      node: name,
      call: `${method} ${target}`,
      status: status ?? 'no answer',
      answer: text?.slice(0, 120),
    });
    return result;
  }

  /** Ends all processes that it started. */
  async close() {
    const children = [...this.#nodes.values()].flatMap(({ child }) => child ?? []);
    await Promise.all(
      children.map(
        (child) =>
          new Promise((resolve) => {
            child.once('exit', resolve);
            child.kill('SIGKILL');
          }),
      ),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }

  static #send(address, { method, path: target, headers = {}, body, leaveMs = 1_000 }) {
    const [hostname, port] = address.split(':');
    return new Promise((resolve) => {
      const agent = new Agent({ keepAlive: false });
      const call = request({ hostname, port, method, path: target, headers, agent }, (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (part) => {
          text += part;
        });
        response.once('end', () => resolve({ status: response.statusCode, text }));
        response.once('error', () => resolve({ status: undefined }));
      });
      call.once('error', () => resolve({ status: undefined }));
      setTimeout(() => {
        call.destroy();
        resolve({ status: undefined });
      }, leaveMs).unref();
      call.end(body);
    });
  }
}
