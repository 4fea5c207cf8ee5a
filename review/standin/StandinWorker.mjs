import http from 'node:http';
import { readBody, sendJson } from './StandinStore.mjs';

/** Most ends in one answer, as PROTOCOL.md states it. */
const MAX_LISTED_ENDS = 500;
/** Time in ms that a stop takes. */
const STOP_MS = 50;

/**
 * Stand-in for one machine with its worker. A worker guards its capacity, runs tasks under a lease
 * and lists its ends until they are acknowledged, 500 at a time.
 */
export class StandinWorker {
  #site;

  #server;

  #connections = new Set();

  #runs = new Map();

  #highestEnded = new Map();

  #ends = [];

  #endCount = 0;

  #token = 0;

  #leaseEndMs = 0;

  #waiters = new Set();

  #bornMonotonic = 0;

  #heartbeat;

  #upkeeps = 0;

  #isClosed = false;

  #isSilent = false;

  isUp = false;

  isInUpkeep = false;

  seqNo = 0;

  constructor(site, { id, machine, pool, zone, capacity, rack, host }) {
    this.#site = site;
    Object.assign(this, { id, machine, pool, zone, capacity, rack, host, port: 0 });
  }

  get clockMs() {
    return Math.floor(performance.now() - this.#bornMonotonic);
  }

  get runningCount() {
    return this.#runs.size;
  }

  get usedCpu() {
    return [...this.#runs.values()].reduce((sum, { request }) => sum + request.cpu, 0);
  }

  /** Starts a life of the worker: it knows nothing of before, listens and registers itself. */
  async start({ registersAfterMs = 0 } = {}) {
    this.born = Date.now();
    this.#bornMonotonic = performance.now();
    this.#runs.clear();
    this.#highestEnded.clear();
    this.#ends = [];
    this.#endCount = 0;
    this.#token = 0;
    this.#leaseEndMs = 0;
    this.isUp = true;
    await this.openPort();
    const beat = () => {
      this.seqNo += 1;
      this.#site.store.write('keyed.servers', this.id, this.#describe());
    };
    this.#heartbeat = setTimeout(() => {
      beat();
      this.#heartbeat = setInterval(beat, this.#site.heartbeatMs);
    }, registersAfterMs);
  }

  /** Opens the port of the worker. */
  async openPort() {
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      this.#connections.add(socket);
      socket.once('close', () => this.#connections.delete(socket));
    });
    await new Promise((resolve) => {
      this.#server.listen(this.port, this.host, resolve);
    });
    this.port = this.#server.address().port;
  }

  /** Cuts the worker off from the system: connections are reset and new ones refused. It runs on. */
  cut() {
    this.#server.close();
    this.#connections.forEach((socket) => socket.resetAndDestroy());
  }

  /** Cuts the worker off silently: what is sent to it from now on is dropped. It runs on. */
  pause() {
    this.#isSilent = true;
  }

  /** Ends a silent cut; connections from before are reset. */
  restore() {
    this.#isSilent = false;
    this.#connections.forEach((socket) => socket.resetAndDestroy());
  }

  /** Ends this life of the worker; what runs on it ends too. */
  crash() {
    this.isUp = false;
    clearTimeout(this.#heartbeat);
    clearInterval(this.#heartbeat);
    this.cut();
    this.#runs.forEach((run) => {
      clearTimeout(run.timer);
      this.#site.reportEnd(this, run, 'lost');
    });
    this.#runs.clear();
  }

  /** Turns the machine off for its upkeep; everything that runs on it ends, and it leaves the list. */
  startUpkeep() {
    this.isInUpkeep = true;
    this.crash();
    this.#site.store.remove('keyed.servers', this.id);
  }

  /** Starts a new worker on the machine. */
  finishUpkeep() {
    if (this.#isClosed) return;
    this.isInUpkeep = false;
    this.#upkeeps += 1;
    this.id = `${this.id.slice(0, 12)}${this.#upkeeps}`;
    this.seqNo = 0;
    this.start();
  }

  close() {
    this.#isClosed = true;
    clearTimeout(this.#heartbeat);
    clearInterval(this.#heartbeat);
    this.#runs.forEach(({ timer }) => clearTimeout(timer));
    this.cut();
  }

  #describe() {
    return {
      service: this.pool,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      seqNo: this.seqNo,
      capacity: this.capacity,
      labels: ['a', this.rack],
      clockMs: this.clockMs,
      born: this.born,
      machine: this.machine,
    };
  }

  async #serve(request, response) {
    const bytes = await readBody(request);
    if (this.#isSilent) return;
    if (request.headers['x-buckthornreach-expect-instance'] !== this.id) {
      sendJson(response, 421);
      return;
    }
    this.#expireLease();
    const body = bytes.length === 0 ? {} : JSON.parse(bytes.toString('utf8'));
    const token = body.fencingToken ?? 0;
    if (request.method === 'POST') {
      if (token < this.#token) {
        this.#refuse(response, 'fence');
        return;
      }
      this.#token = token;
    }
    switch (request.url) {
      case '/buckthornreach/run-start':
        this.#startRun(body, response);
        break;
      case '/buckthornreach/run-stop':
        this.#stopRun(body, response);
        break;
      case '/buckthornreach/hold':
        await this.#hold(body, response);
        break;
      case '/buckthornreach/pace':
        sendJson(response, 200, { clockMs: this.clockMs });
        break;
      default:
        sendJson(response, 200);
    }
  }

  #refuse(response, reason) {
    sendJson(response, 409, { clockMs: this.clockMs, reason });
  }

  #raiseLease(deadlineMs = 0) {
    const latest = this.clockMs + this.#site.bounds.maxHoldMs;
    this.#leaseEndMs = Math.max(this.#leaseEndMs, Math.min(latest, deadlineMs));
  }

  #expireLease() {
    if (this.#runs.size === 0 || this.clockMs <= this.#leaseEndMs) return;
    [...this.#runs.values()].forEach((run) => this.#endRun(run, 'lapsed'));
  }

  #startRun({ task, runId, deadlineMs, fencingToken }, response) {
    const active = this.#runs.get(task);
    if (active?.runId === runId) {
      this.#raiseLease(deadlineMs);
      sendJson(response, 200, { clockMs: this.clockMs });
      return;
    }
    if (deadlineMs <= this.clockMs) {
      this.#refuse(response, 'late');
      return;
    }
    this.#raiseLease(deadlineMs);
    if (active !== undefined || runId <= (this.#highestEnded.get(task) ?? 0)) {
      this.#refuse(response, 'old');
      return;
    }
    const { request, runMs } = this.#site.findTask(task);
    if (this.usedCpu + request.cpu > this.capacity.cpu) {
      this.#refuse(response, 'room');
      return;
    }
    const run = { task, runId, request, startedAt: performance.now(), token: fencingToken };
    run.timer = setTimeout(() => this.#endRun(run, 'done'), runMs);
    run.runMs = runMs;
    this.#runs.set(task, run);
    this.#site.reportStart(this, run);
    sendJson(response, 200, { clockMs: this.clockMs });
  }

  #stopRun({ task, runId }, response) {
    this.#highestEnded.set(task, Math.max(runId, this.#highestEnded.get(task) ?? 0));
    const run = this.#runs.get(task);
    if (run !== undefined && run.runId <= runId) {
      setTimeout(() => this.#endRun(run, 'stopped'), STOP_MS);
    }
    sendJson(response, 200, { clockMs: this.clockMs });
  }

  #endRun(run, how) {
    if (this.#runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.#runs.delete(run.task);
    this.#highestEnded.set(run.task, Math.max(run.runId, this.#highestEnded.get(run.task) ?? 0));
    this.#endCount += 1;
    this.#ends.push({ number: this.#endCount, run, how });
    this.#site.reportEnd(this, run, how);
    [...this.#waiters].forEach((notify) => notify());
  }

  async #hold({ ackCursor = 0, deadlineMs, waitMs = 0 }, response) {
    this.#raiseLease(deadlineMs);
    while (this.#ends.length > 0 && this.#ends[0].number <= ackCursor) {
      const { run, how } = this.#ends.shift();
      this.#site.reportNoted(this, run, how);
    }
    if (waitMs > 0 && this.#ends.length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          this.#waiters.delete(finish);
          resolve();
        };
        this.#waiters.add(finish);
        setTimeout(finish, Math.min(2_000, waitMs));
      });
    }
    this.#expireLease();
    const running = [...this.#runs.values()].map(({ task, runId, startedAt, runMs, request }) => {
      const percent = Math.min(99, Math.floor((100 * (performance.now() - startedAt)) / runMs));
      return [task, runId, '', percent, request.cpu];
    });
    const endedRuns = this.#ends
      .slice(0, MAX_LISTED_ENDS)
      .map(({ number, run, how }) => [number, run.task, run.runId, how, '']);
    sendJson(response, 200, { clockMs: this.clockMs, born: this.born, running, endedRuns });
  }
}
