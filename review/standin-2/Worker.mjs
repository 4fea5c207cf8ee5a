import { waitForWake } from './waitForWake.mjs';

const CHECK_INTERVAL_MS = 20;
const MAX_LISTED_ENDS = 500;
const MAX_WAIT_MS = 2_000;

/** Reads how long a task takes from its text, such as `ms=800`; tasks without it last. */
function readDuration(taskSpec) {
  const text = /ms=(\d+)/.exec(taskSpec)?.[1];
  return text === undefined ? Infinity : Number(text);
}

/**
 * Stand-in for a worker, one life of a machine: it starts and stops runs, keeps their lease and
 * lists their ends, as PROTOCOL.md describes it.
 */
export class Worker {
  /** Highest fencing token that it has seen. */
  token = 0;

  /** Runs by `TASK#RUN`. */
  running = new Map();

  isUp = true;

  state = 'ready';

  #ends = [];

  #endCount = 0;

  #lastEnded = new Map();

  #leaseEnd = 0;

  #startedAt = performance.now();

  #waiters = new Set();

  #timer;

  #seqNo = 0;

  /** Tasks that were started before; a run with `fail=` fails at the first start. */
  #options;

  constructor(options) {
    this.#options = options;
    this.id = options.id;
    this.machine = options.machine;
    this.service = options.service;
    this.zone = options.zone;
    this.labels = options.labels;
    this.capacity = options.capacity;
    this.born = Date.now();
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  get clockMs() {
    return Math.floor(performance.now() - this.#startedAt) + 1_000;
  }

  /** Builds its entry in the store. */
  describe(address) {
    this.#seqNo += 1;
    return {
      service: this.service,
      address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldLeftMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.clockMs,
      born: this.born,
      machine: this.machine,
      seqNo: this.#seqNo,
    };
  }

  /** Ends its life; everything that runs on it terminates. */
  kill() {
    this.isUp = false;
    clearInterval(this.#timer);
    this.running.forEach((run) => this.#options.onEnd(this, run, 'lost'));
    this.running.clear();
    [...this.#waiters].forEach((wake) => wake());
  }

  /** Ends a run by its own fault. */
  fail(key) {
    const run = this.running.get(key);
    if (run !== undefined) this.#end(run, 'failed');
  }

  /** Handles a call; `undefined` stands for an unknown one. */
  handle(path, fields) {
    const token = fields.fencingToken ?? 0;
    if (token < this.token) return this.#reject('fence');
    this.token = token;
    this.#check();
    switch (path) {
      case '/buckthornreach/run-start':
        return this.#start(fields);
      case '/buckthornreach/run-stop':
        return this.#stop(fields);
      case '/buckthornreach/pace':
        return this.#accept();
      case '/buckthornreach/hold':
        return this.#hold(fields);
      default:
        return undefined;
    }
  }

  #accept(body = {}) {
    return { status: 200, body: { clockMs: this.clockMs, ...body } };
  }

  #reject(reason) {
    return { status: 409, body: { clockMs: this.clockMs, reason } };
  }

  #increaseLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const longest = this.clockMs + this.#options.maxHoldMs;
    this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(deadlineMs, longest));
  }

  #start({ task, runId, taskSpec, deadlineMs, ticket, checkpoint }) {
    const key = `${task}#${runId}`;
    if (deadlineMs <= this.clockMs) return this.#reject('late');
    this.#increaseLease(deadlineMs);
    if (this.running.has(key)) return this.#accept();
    if (runId <= (this.#lastEnded.get(task) ?? 0)) return this.#reject('old');
    const size = this.#options.findSize(task);
    const used = [...this.running.values()].reduce((sum, run) => sum + run.size.cpu, 0);
    const usedMemory = [...this.running.values()].reduce((sum, run) => sum + run.size.memMb, 0);
    const fits =
      used + size.cpu <= this.capacity.cpu && usedMemory + size.memMb <= this.capacity.memMb;
    if (!fits) return this.#reject('room');
    if (!this.#options.isTicketValid(this, task, ticket)) return this.#reject('ticket');
    const run = { task, runId, key, size, startedAt: performance.now(), saved: '' };
    run.endsAt = run.startedAt + readDuration(taskSpec);
    this.running.set(key, run);
    this.#options.onStart(this, run, { taskSpec, checkpoint });
    return this.#accept();
  }

  #stop({ task, runId }) {
    const run = this.running.get(`${task}#${runId}`);
    this.#lastEnded.set(task, Math.max(this.#lastEnded.get(task) ?? 0, runId));
    if (run !== undefined && run.stopsAt === undefined) run.stopsAt = performance.now() + 50;
    return this.#accept();
  }

  async #hold({ deadlineMs, ackCursor = 0, waitMs = 0 }) {
    this.#increaseLease(deadlineMs);
    this.#ends = this.#ends.filter(([number, task, runId, how]) => {
      if (number <= ackCursor) this.#options.onNoted(this, { task, runId, how });
      return number > ackCursor;
    });
    if (waitMs > 0 && this.#ends.length === 0) {
      await waitForWake(this.#waiters, Math.min(waitMs, MAX_WAIT_MS));
    }
    if (!this.isUp) return undefined;
    return this.#accept({
      born: this.born,
      running: [...this.running.values()].map((run) => [
        run.task,
        run.runId,
        run.saved,
        Worker.#measurePercent(run),
        run.size.cpu,
      ]),
      endedRuns: this.#ends.slice(0, MAX_LISTED_ENDS),
    });
  }

  static #measurePercent({ startedAt, endsAt }) {
    const ranMs = performance.now() - startedAt;
    if (endsAt === Infinity) return ranMs > 300 ? 100 : 0;
    return Math.min(99, Math.floor((100 * ranMs) / (endsAt - startedAt)));
  }

  #check() {
    const now = performance.now();
    const hasLapsed = this.clockMs > this.#leaseEnd;
    this.running.forEach((run) => {
      if (hasLapsed) this.#end(run, 'lapsed');
      else if (now >= run.endsAt) this.#end(run, 'done');
      else if (now >= (run.stopsAt ?? Infinity)) this.#end(run, 'stopped');
    });
  }

  #end(run, how) {
    this.running.delete(run.key);
    this.#lastEnded.set(run.task, Math.max(this.#lastEnded.get(run.task) ?? 0, run.runId));
    this.#endCount += 1;
    this.#ends.push([this.#endCount, run.task, run.runId, how, run.saved]);
    this.#options.onEnd(this, run, how);
    [...this.#waiters].forEach((wake) => wake());
  }
}
