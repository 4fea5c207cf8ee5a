import http from 'node:http';
import { readBody, sendJson } from './StandinStore.mjs';

/** Time in ms that the maintenance of a machine takes: `maintenanceS`. */
const UPKEEP_MS = 2_000;

/** Stand-in for the service that lists machines and carries out their upkeep; it checks fences. */
export class StandinMachines {
  #site;

  #server;

  #tokens = new Map();

  #waves = new Map();

  #begun = new Set();

  /** Upkeeps that began, with the machines of their wave that were down then. */
  upkeeps = [];

  /** How late in ms each of the next orders is carried out; an order that is late has no answer. */
  delays = [];

  orderCount = 0;

  constructor(site) {
    this.#site = site;
  }

  async open(host) {
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => {
      this.#server.listen(0, host, resolve);
    });
    return `${host}:${this.#server.address().port}`;
  }

  /** Requests the upkeep of machines, as the operator does. */
  submitWave(order) {
    this.#waves.set(order.wave, order);
    this.#site.record(`operator: wave ${JSON.stringify(order)}`);
    this.#site.store.write('keyed.op', `wave/${order.wave}`, order);
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request, response) {
    const body = await readBody(request);
    if (request.method === 'GET') {
      const machines = this.#site.workers.map((worker) => ({
        machine: worker.machine,
        pool: worker.pool,
        state: worker.isInUpkeep ? 'upkeep' : 'up',
        zone: worker.zone,
        labels: ['a', worker.rack],
        capacity: worker.capacity,
        id: worker.isInUpkeep ? null : worker.id,
      }));
      sendJson(response, 200, { machines, nextToken: null });
      return;
    }
    const fields = JSON.parse(body.toString('utf8'));
    const token = Number(request.headers['x-buckthornreach-fencing-token']);
    this.orderCount += 1;
    const delayMs = this.delays.shift() ?? 0;
    if (delayMs === 0) {
      const { status, reason } = this.#order(request.url, fields, token);
      sendJson(response, status, reason === undefined ? {} : { reason });
      return;
    }
    const { machine } = fields;
    this.#site.record(`machines: ${request.url} ${machine} gets no answer`);
    setTimeout(() => {
      const { status, reason = '' } = this.#order(request.url, fields, token);
      this.#site.record(`machines: ${request.url} ${machine} done late: ${status} ${reason}`);
    }, delayMs);
  }

  #order(url, { machine, wave }, token) {
    const worker = this.#site.workers.find((one) => one.machine === machine);
    if (worker === undefined || url !== '/buckthornreach/machine-upkeep') return { status: 400 };
    if (token < (this.#tokens.get(machine) ?? 0)) return { status: 409, reason: 'fence' };
    this.#tokens.set(machine, token);
    if (this.#begun.has(`${wave}/${machine}`)) return { status: 200 };
    if (this.#waves.get(wave)?.machines.includes(machine) !== true)
      return { status: 409, reason: 'wave' };
    if (worker.isInUpkeep) return { status: 409, reason: 'busy' };
    this.#begun.add(`${wave}/${machine}`);
    this.#startUpkeep(worker, wave);
    return { status: 200 };
  }

  #startUpkeep(worker, wave) {
    const { machine } = worker;
    const { machines, cap } = this.#waves.get(wave);
    const down = this.#site.workers
      .filter((other) => other.isInUpkeep && machines.includes(other.machine))
      .map((other) => other.machine);
    this.upkeeps.push({ wave, machine, down, cap });
    this.#site.record(
      `machines: upkeep of ${machine} begins; down for the wave: ${down.length} of at most ${cap}`,
    );
    worker.startUpkeep();
    setTimeout(() => {
      this.#site.record(`machines: upkeep of ${machine} ends`);
      worker.finishUpkeep();
    }, UPKEEP_MS);
  }
}
