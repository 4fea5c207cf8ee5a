import { createServer } from 'node:http';
import { StoreStandin } from './StoreStandin.mjs';
import { Worker } from './Worker.mjs';

const HEARTBEAT_MS = 1_500;
const STORE_ANSWER_MS = 4;
const MAX_HOLD_MS = 10_000;
const MIGRATE_MS = 1_500;
const MAINTENANCE_MS = 2_000;
const HEAD_PATH = '/buckthornreach/';

/** Delays. */
export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/**
 * Stand-ins for the platform of the users: store, machines, workers and advice. Each node gets an
 * address of its own for the store, the machines and the advice service, so that a script can cut
 * off single nodes. Workers know which node calls them by the fencing token, which the store
 * accepted from that node.
 */
export class Platform {
  store = new StoreStandin();

  /** Workers by id, also those that have ended. */
  workers = new Map();

  /** Machines by name: pool, state, worker. */
  machines = new Map();

  /** What happened, in order: `{ atMs, kind, ... }`. */
  events = [];

  /** How the platform behaves; a script replaces what it disturbs. */
  hooks = {
    /** Checks whether a node reaches a thing: `store`, `machines`, `advice` or a machine. */
    isReachable: () => true,
    /** Returns how many ms late an append of a node is executed without an answer, or undefined. */
    loseAppend: () => undefined,
    /** Checks whether the store answers 503 to a node and does nothing. */
    isStoreBusy: () => false,
    /** Checks whether the machine service answers; it answers 503 otherwise. */
    isCloudUp: () => true,
    /** Checks the ticket of a start. */
    isTicketValid: () => true,
    /** Answers a question for advice with rows of id and ticket. */
    advise: (_step, workers) => workers.map((id) => [id, `ticket-${id}`]),
  };

  #servers = [];

  #sizes = new Map();

  #startedAt = performance.now();

  #timer;

  #workerCount = 0;

  constructor() {
    this.#timer = setInterval(() => this.#emitHeartbeats(), HEARTBEAT_MS);
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Records an event. */
  record(kind, fields = {}) {
    this.events.push({ atMs: this.nowMs, kind, ...fields });
  }

  /** Tells the workers how large the tasks of a job are, by step. */
  addSizes(id, steps) {
    this.#sizes.set(id, steps);
  }

  /** Adds a machine whose worker joins the pool at once. */
  async addMachine(name, { service, zone, rack, capacity }) {
    const machine = { name, service, zone, capacity, labels: ['a', rack], state: 'up', token: 0 };
    this.machines.set(name, machine);
    machine.address = await this.#open((request, body) =>
      this.#serveWorker(machine, request, body),
    );
    this.#register(machine);
    return machine;
  }

  /** Opens the addresses of a node; each is one server for all three services. */
  openNode(name) {
    return this.#open((request, body) => this.#serveNode(name, request, body));
  }

  /** Writes a configuration or a wave as the operator does. */
  writeOperator(key, value) {
    this.record('operator', { key, value: JSON.stringify(value).slice(0, 200) });
    return this.store.write('keyed.op', key, value);
  }

  async close() {
    clearInterval(this.#timer);
    this.workers.forEach((worker) => worker.kill());
    await Promise.all(
      this.#servers.map(
        (server) =>
          new Promise((resolve) => {
            server.close(resolve);
            server.closeAllConnections();
          }),
      ),
    );
  }

  #open(handle) {
    const server = createServer((request, response) => {
      readBody(request)
        .then((body) => handle(request, body))
        .then(
          (result) => {
            if (result === undefined) {
              response.destroy();
              return;
            }
            const { status, body } = result;
            response.writeHead(status);
            response.end(body instanceof Buffer ? body : JSON.stringify(body));
          },
          () => response.destroy(),
        );
    });
    this.#servers.push(server);
    return new Promise((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
    });
  }

  /** Waits until a node reaches a thing; the bytes of a cut connection are held up meanwhile. */
  async #waitForPath(node, thing, request) {
    while (!this.hooks.isReachable(node, thing)) {
      if (request.socket.destroyed) return false;
      await wait(20);
    }
    return !request.socket.destroyed;
  }

  async #serveNode(node, request, body) {
    const url = new URL(request.url, 'http://standin');
    const name = url.pathname.slice(HEAD_PATH.length);
    if (name.startsWith('log-')) {
      if (!(await this.#waitForPath(node, 'store', request))) return undefined;
      return this.#serveStore(node, name, { url, body, request });
    }
    if (name === 'advise') {
      if (!(await this.#waitForPath(node, 'advice', request))) return undefined;
      const { step, workers } = JSON.parse(body.toString('utf8'));
      const allowed = this.hooks.advise(step, workers);
      this.record('advise', { node, step, allowed: allowed.length });
      return { status: 200, body: { allowed, validityMs: 3_000 } };
    }
    if (!(await this.#waitForPath(node, 'machines', request))) return undefined;
    if (!this.hooks.isCloudUp()) return { status: 503, body: {} };
    if (name === 'machines') return this.#listMachines();
    return this.#changeMachine(name, request, JSON.parse(body.toString('utf8')));
  }

  async #serveStore(node, name, { url, body, request }) {
    await wait(STORE_ANSWER_MS);
    if (this.hooks.isStoreBusy(node)) return { status: 503, body: {} };
    if (name === 'log-append') {
      const lateMs = this.hooks.loseAppend(node, url, body);
      if (lateMs !== undefined) {
        setTimeout(() => {
          const { status } = this.store.append(node, url, body);
          this.record('append-late', { node, status });
        }, lateMs);
        // A connection on which a response is lost returns nothing further.
        await new Promise((resolve) => {
          request.socket.once('close', resolve);
        });
        return undefined;
      }
      return this.store.append(node, url, body);
    }
    if (name === 'log-read') {
      const result = await this.store.read(url);
      // The answer of a read that waited meets the same cut.
      return (await this.#waitForPath(node, 'store', request)) ? result : undefined;
    }
    return this.store.readNewest(url);
  }

  async #serveWorker(machine, request, body) {
    const { worker } = machine;
    const id = request.headers['x-buckthornreach-expect-instance'];
    if (request.url === '/health') return { status: 200, body: {} };
    const fields = JSON.parse(body.toString('utf8'));
    const node = this.store.nodeOfEpoch.get(fields.fencingToken);
    if (!(await this.#waitForPath(node, machine, request))) return undefined;
    if (worker === undefined || !worker.isUp || machine.worker !== worker) return undefined;
    if (id !== worker.id) return { status: 421, body: { clockMs: worker.clockMs } };
    const result = await worker.handle(request.url, fields);
    if (result?.status === 409) {
      const { task, runId } = fields;
      this.record('refused', { worker: worker.id, task, runId, reason: result.body.reason, node });
    }
    return (await this.#waitForPath(node, machine, request)) ? result : undefined;
  }

  #listMachines() {
    const machines = [...this.machines.values()].map(
      ({ name, service, state, zone, labels, capacity, worker }) => ({
        machine: name,
        pool: service,
        state,
        zone,
        labels,
        capacity,
        id: state === 'up' ? worker?.id : undefined,
      }),
    );
    return { status: 200, body: { machines, nextToken: null } };
  }

  #changeMachine(name, request, fields) {
    const machine = this.machines.get(fields.machine);
    if (machine === undefined) return { status: 400, body: {} };
    const token = Number(request.headers['x-buckthornreach-fencing-token']);
    if (token < machine.token) return { status: 409, body: { reason: 'fence' } };
    machine.token = token;
    const isMove = name === 'machine-move';
    const isDone = isMove ? machine.service === fields.pool : machine.lastWave === fields.wave;
    if (isDone) return { status: 200, body: {} };
    if (machine.state !== 'up') return { status: 409, body: { reason: 'busy' } };
    if (!isMove) {
      const wave = this.store.find('keyed.op', `wave/${fields.wave}`);
      if (wave?.machines.includes(machine.name) !== true)
        return { status: 409, body: { reason: 'wave' } };
      machine.lastWave = fields.wave;
    } else machine.service = fields.pool;
    machine.state = isMove ? 'moving' : 'upkeep';
    this.record(isMove ? 'move' : 'upkeep', { machine: machine.name, ...fields });
    this.#release(machine);
    setTimeout(() => this.#register(machine), isMove ? MIGRATE_MS : MAINTENANCE_MS);
    return { status: 200, body: {} };
  }

  /** Ends the life of a machine's worker. */
  #release(machine) {
    const { worker } = machine;
    Object.assign(machine, { worker: undefined });
    if (worker === undefined) return;
    worker.kill();
    this.store.write('keyed.servers', worker.id, undefined);
  }

  #register(machine) {
    this.#workerCount += 1;
    const worker = new Worker({
      id: `i-${(0x7f3a0000 + this.#workerCount).toString(16)}`,
      machine: machine.name,
      service: machine.service,
      zone: machine.zone,
      labels: machine.labels,
      capacity: machine.capacity,
      maxHoldMs: MAX_HOLD_MS,
      findSize: (task) => this.#findSize(task),
      isTicketValid: (one, task, ticket) => this.hooks.isTicketValid(one, task, ticket),
      onStart: (one, run, { taskSpec, checkpoint }) =>
        this.record('start', {
          worker: one.id,
          zone: one.zone,
          task: run.task,
          runId: run.runId,
          taskSpec: taskSpec.slice(0, 40),
          checkpoint,
          node: this.store.nodeOfEpoch.get(one.token),
        }),
      onEnd: (one, run, how) =>
        this.record('end', { worker: one.id, task: run.task, runId: run.runId, how }),
      onNoted: (one, end) => this.record('noted', { worker: one.id, ...end }),
    });
    Object.assign(machine, { worker, state: 'up' });
    this.workers.set(worker.id, worker);
    this.record('join', { worker: worker.id, machine: machine.name, service: machine.service });
    this.store.write('keyed.servers', worker.id, worker.describe(machine.address));
  }

  #findSize(task) {
    const [id, , step] = task.split('.');
    const { cpu = 0, memMb = 0 } = this.#sizes.get(id)?.[Number(step)] ?? {};
    return { cpu, memMb };
  }

  #emitHeartbeats() {
    this.machines.forEach(({ worker, address }) => {
      if (worker !== undefined)
        this.store.write('keyed.servers', worker.id, worker.describe(address));
    });
  }
}
