import { createServer } from 'node:http';
import { openServer, readBody, sendJson, waitMs } from './StoreServer.js';

const MAX_WAITING = 32;

/**
 * The advice service: allows every worker that it is asked about, after the times of the queue's
 * policy, and handles one call at a time.
 */
export class AdviceServer {
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  #last = Promise.resolve();

  #waiting = 0;

  #tickets = new Map();

  /** `policy` holds `decisionMs`, `periodMs` and `validityMs`; `record` notes each call. */
  constructor({ policy, record }) {
    this.policy = policy;
    this.record = record;
  }

  async open(host) {
    this.address = await openServer(this.#server, host);
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Checks whether a ticket is valid for a task on a worker. */
  hasTicket(ticket, { task, worker }) {
    const step = task.split('.').slice(0, 3).join('.');
    const known = this.#tickets.get(ticket);
    return known?.step === step && known.worker === worker && known.untilMs > performance.now();
  }

  async #serve(request, response) {
    const { step, workers } = JSON.parse((await readBody(request)).toString('utf8'));
    if (this.#waiting >= MAX_WAITING) {
      sendJson(response, 429);
      return;
    }
    this.#waiting += 1;
    this.record(`advice on ${step} for ${workers.length} workers is asked for`);
    const before = this.#last;
    const answered = before.then(() => this.#answer(response, { step, workers }));
    this.#last = answered;
    await answered;
    this.#waiting -= 1;
  }

  async #answer(response, { step, workers }) {
    // A call whose connection has ended is not handled.
    if (response.destroyed) return;
    const { decisionMs, periodMs, validityMs } = this.policy;
    await waitMs(decisionMs + periodMs * workers.length);
    if (response.destroyed) {
      this.record(`the caller has left before the advice on ${step} was ready`);
      return;
    }
    const untilMs = performance.now() + validityMs;
    const allowed = workers.map((worker) => {
      const ticket = `${this.#tickets.size}-${worker}`;
      this.#tickets.set(ticket, { step, worker, untilMs });
      return [worker, ticket];
    });
    this.record(`advice on ${step}: ${allowed.length} workers are allowed`);
    sendJson(response, 200, { allowed, validityMs });
  }
}
