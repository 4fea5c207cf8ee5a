import { createServer } from 'node:http';
import { openServer, readBody, sendJson } from './StoreServer.js';

const MAX_LISTED_ENDS = 500;
const MAX_WAIT_MS = 2_000;
/** Time in ms after which a task that lasts is at work. */
const STARTUP_MS = 200;

/** Reads how long a task works, in ms, from its specification, such as `work=300`. */
function parseWorkMs(taskSpec) {
  return Number(/work=(\d+)/.exec(taskSpec)?.[1] ?? 500);
}

/** Computes a number from 0 to 1 from a text, the same for each play. */
function computeShare(text) {
  const prime = 2_147_483_647;
  const hash = [...Buffer.from(text)].reduce((sum, byte) => (31 * sum + byte) % prime, 7);
  return ((48_271 * hash) % prime) / prime;
}

/**
 * Reads from the specification of a task that lasts, such as `lasts fails=30000`, after how many ms a
 * run fails: from a fifth of that time to nine fifths of it. Undefined for other tasks.
 */
function computeFailureMs(taskSpec, key) {
  if (!taskSpec.startsWith('lasts')) return undefined;
  const meanMs = Number(/fails=(\d+)/.exec(taskSpec)?.[1] ?? Infinity);
  return meanMs * (0.2 + 1.6 * computeShare(key));
}

/** One life of a worker: runs tasks under a lease, as the users' page on running tasks says. */
export class Worker {
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  #runs = new Map();

  #highestEnded = new Map();

  #ends = [];

  #endCount = 0;

  #token = 0;

  #deadlineMs = 0;

  #waiting = new Set();

  #startedAt = performance.now();

  #seqNo = 0;

  /** `report` is called with each start and each end of a run. */
  constructor(options) {
    this.options = options;
    this.born = Date.now();
    this.state = 'ready';
    this.isAlive = true;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.#startedAt);
  }

  get runs() {
    return [...this.#runs.values()];
  }

  async open() {
    const { host, port = 0 } = this.options;
    this.address = await openServer(this.#server, host, port);
    this.#timer = setInterval(() => this.#advance(), 10);
    this.writeEntry();
    this.#beat = setInterval(() => this.writeEntry(), this.options.heartbeatMs);
  }

  #timer;

  #beat;

  /** Writes the report of the worker about itself. */
  writeEntry() {
    const { id, service, zone, labels, capacity, machine, store } = this.options;
    this.#seqNo += 1;
    const entry = {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldLeftMs: 0,
      capacity,
      labels,
      machine,
      clockMs: this.clockMs,
      born: this.born,
      seqNo: this.#seqNo,
    };
    store.write('keyed.servers', id, JSON.stringify(entry));
  }

  /** Ends this life: everything that runs ends with it. */
  close() {
    this.isAlive = false;
    clearInterval(this.#timer);
    clearInterval(this.#beat);
    this.#runs.forEach((run) => this.#report('lost', run));
    this.#runs.clear();
    this.#server.close();
    this.#server.closeAllConnections();
    this.options.store.write('keyed.servers', this.options.id, '');
  }

  #report(what, { task, runId }, extra = {}) {
    this.options.report({ what, worker: this.options.id, task, runId, ...extra });
  }

  #advance() {
    const now = performance.now();
    if (this.#runs.size > 0 && this.clockMs > this.#deadlineMs) {
      [...this.#runs.values()].forEach((run) => this.#end(run, 'lapsed'));
      return;
    }
    [...this.#runs.values()]
      .filter(({ endsAt }) => endsAt <= now)
      .forEach((run) => {
        const how = run.lasts ? 'failed' : 'done';
        this.#end(run, run.isStopped ? 'stopped' : how);
      });
  }

  #end(run, how) {
    this.#runs.delete(`${run.task}#${run.runId}`);
    this.#markEnded(run.task, run.runId);
    this.#endCount += 1;
    this.#ends.push([this.#endCount, run.task, run.runId, how, '']);
    this.#report(how, run);
    [...this.#waiting].forEach((wake) => wake());
  }

  #markEnded(task, runId) {
    this.#highestEnded.set(task, Math.max(runId, this.#highestEnded.get(task) ?? 0));
  }

  #applyLease(deadlineMs) {
    if (typeof deadlineMs !== 'number') return;
    const limitMs = Math.min(deadlineMs, this.clockMs + this.options.maxHoldMs);
    this.#deadlineMs = Math.max(this.#deadlineMs, limitMs);
  }

  async #serve(request, response) {
    const body = await readBody(request);
    const expected = request.headers['x-buckthornreach-expect-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      sendJson(response, 421, { clockMs: this.clockMs });
      return;
    }
    if (request.method === 'GET') {
      sendJson(response, this.state === 'ready' ? 200 : 503);
      return;
    }
    const fields = JSON.parse(body.toString('utf8'));
    const token = fields.fencingToken ?? 0;
    if (token < this.#token) {
      sendJson(response, 409, { clockMs: this.clockMs, reason: 'fence' });
      return;
    }
    this.#token = token;
    this.#advance();
    switch (request.url) {
      case '/buckthornreach/run-start':
        this.#start(fields, response);
        break;
      case '/buckthornreach/run-stop':
        this.#stop(fields);
        sendJson(response, 200, { clockMs: this.clockMs });
        break;
      case '/buckthornreach/hold':
        await this.#hold(fields, response);
        break;
      default:
        sendJson(response, 200, { clockMs: this.clockMs });
    }
  }

  #start({ task, runId, taskSpec, deadlineMs, ticket }, response) {
    const refuse = (reason) => sendJson(response, 409, { clockMs: this.clockMs, reason });
    if (this.#runs.has(`${task}#${runId}`)) {
      sendJson(response, 200, { clockMs: this.clockMs });
      return;
    }
    if (deadlineMs < this.clockMs) {
      refuse('late');
      return;
    }
    this.#applyLease(deadlineMs);
    if ((this.#highestEnded.get(task) ?? 0) >= runId) {
      refuse('old');
      return;
    }
    const { id, advice } = this.options;
    if (advice !== undefined && !advice.hasTicket(ticket, { task, worker: id })) {
      refuse('ticket');
      return;
    }
    const failureMs = computeFailureMs(taskSpec, `${task}#${runId}`);
    const startedAt = performance.now();
    const endsAt = startedAt + (failureMs ?? parseWorkMs(taskSpec));
    const run = {
      task,
      runId,
      startedAt,
      endsAt,
      isStopped: false,
      lasts: failureMs !== undefined,
    };
    this.#runs.set(`${task}#${runId}`, run);
    this.#report('started', run);
    sendJson(response, 200, { clockMs: this.clockMs });
  }

  #stop({ task, runId }) {
    this.#markEnded(task, runId);
    const run = this.#runs.get(`${task}#${runId}`);
    if (run === undefined || run.isStopped) return;
    run.isStopped = true;
    run.endsAt = performance.now() + 20;
  }

  async #hold({ ackCursor = 0, deadlineMs, waitMs: limitMs = 0 }, response) {
    this.#applyLease(deadlineMs);
    this.#ends = this.#ends.filter(([number]) => number > ackCursor);
    if (limitMs > 0 && this.#ends.length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          this.#waiting.delete(finish);
          resolve();
        };
        this.#waiting.add(finish);
        setTimeout(finish, Math.min(MAX_WAIT_MS, limitMs));
        response.once('close', finish);
      });
    }
    if (!this.isAlive) return;
    const now = performance.now();
    sendJson(response, 200, {
      clockMs: this.clockMs,
      born: this.born,
      running: [...this.#runs.values()].map(({ task, runId, startedAt, endsAt, lasts }) => {
        if (lasts) return [task, runId, '', now - startedAt > STARTUP_MS ? 100 : 0, 0];
        const percent = Math.floor((100 * (now - startedAt)) / Math.max(1, endsAt - startedAt));
        return [task, runId, '', Math.min(99, percent), 0];
      }),
      endedRuns: this.#ends.slice(0, MAX_LISTED_ENDS),
    });
  }
}
