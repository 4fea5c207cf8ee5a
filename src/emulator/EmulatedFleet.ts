import type { Clock } from '../clock/mod.js';
import {
  OrderUnansweredError,
  OrderUnsentError,
  type HoldResponse,
  type HoldOrder,
  type HostOrders,
  type HostTarget,
  type Machine,
  type MachineResponse,
  type MachineProvider,
  type MachineOrder,
  type MachineState,
  type OrderResponse,
} from '../port/mod.js';
import {
  DEFAULT_CAPACITY,
  EmulatedHost,
  type StartedRun,
  type TaskScript,
} from './EmulatedHost.js';
import type { EmulatedStore } from './EmulatedStore.js';
import { HostConnection } from './_HostConnection.js';
import { MachineConnection } from './_MachineConnection.js';
import { listOverlaps, listRepeats } from './_listOverlaps.js';

/** Time that a machine is away for a move or for maintenance, in ms. */
const AWAY_MS = 300;
/** Pause in ms between looks at a host while a hold waits. */
const HOLD_POLL_MS = 5;
/** Time after which a call to a host that is cut off counts as unanswered, in ms. */
const UNANSWERED_MS = 250;

/** A machine of the fleet and the life of the host that it carries. */
interface EmulatedMachine {
  name: string;
  pool: string;
  rack: string;
  state: MachineState;
  host: EmulatedHost | undefined;
  /** Highest token that an order about it carried. */
  token: number;
  wave: number | undefined;
}

/** What the fleet does with the next orders. */
export type OrderFault =
  /** Carried out, the answer is lost. */
  | 'answer-lost'
  /** Not answered, and carried out after the given time. */
  | 'late';

/** Options of an emulated fleet. */
export interface EmulatedFleetOptions {
  clock: Clock;
  store: EmulatedStore;
  script: TaskScript;
  /** Draws the fault of an order; undefined for none. */
  drawFault?: () => { fault: OrderFault; delayMs: number } | undefined;
  /** Is called with each order about a machine before it is carried out. */
  onMachineOrder?: (order: MachineOrder) => void;
  /** Address of a machine, where it differs from its name. */
  toAddress?: (machine: string) => string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Machines with their hosts, in memory, as all nodes reach them. */
export class EmulatedFleet {
  readonly #options: EmulatedFleetOptions;

  readonly #machines = new Map<string, EmulatedMachine>();

  readonly #cut = new Set<string>();

  /** Every start that was carried out, in order. */
  readonly started: StartedRun[] = [];

  #lives = 0;

  constructor(options: EmulatedFleetOptions) {
    this.#options = options;
  }

  /** Adds a machine that carries a host. */
  addMachine(name: string, pool: string, rack = 'r1'): void {
    const machine: EmulatedMachine = {
      name,
      pool,
      rack,
      state: 'up',
      host: undefined,
      token: 0,
      wave: undefined,
    };
    this.#machines.set(name, machine);
    this.#raise(machine);
  }

  /** Lists pairs of runs of one task that were present at the same time. */
  listOverlaps(): [StartedRun, StartedRun][] {
    this.settle();
    return listOverlaps(this.started);
  }

  /** Lists starts of tasks after a run of theirs was done. */
  listRepeats(): StartedRun[] {
    this.settle();
    return listRepeats(this.started);
  }

  /** Ends the life of the host on a machine; the machine stays down until `raise`. */
  crash(name: string): void {
    const machine = this.#require(name);
    this.#end(machine);
    machine.state = 'down';
  }

  /** Brings a machine that is down up again with another life of its host. */
  restore(name: string): void {
    this.#raise(this.#require(name));
  }

  /** Sets what the host on a machine says of its health, true or not. */
  setHealth(name: string, isWell: boolean): void {
    this.#require(name).host?.setHealth(isWell);
  }

  /** Makes the host on a machine fail what it is told to start. */
  setFailing(name: string, isFailing: boolean): void {
    this.#require(name).host?.setFailing(isFailing);
  }

  /** Makes the work on a machine stand still, or lets it go on. */
  setStanding(name: string, isStanding: boolean): void {
    this.#require(name).host?.setStanding(isStanding);
  }

  /** Cuts a host off from the nodes; it runs on. */
  cut(name: string, isCut: boolean): void {
    if (isCut) this.#cut.add(name);
    else this.#cut.delete(name);
  }

  /** Lets every life carry out what time has brought. */
  settle(): void {
    this.#machines.forEach(({ host }) => host?.settle());
  }

  /** Opens the host orders of a node. */
  connectHosts(): HostOrders {
    return new HostConnection(this);
  }

  /** Opens the machine desk of a node. */
  connectMachines(): MachineProvider {
    return new MachineConnection(this);
  }

  /** Lists the machines. */
  listMachines(): Machine[] {
    return [...this.#machines.values()].map(({ name, pool, state, host }) => ({
      name,
      pool,
      state,
      dataCentre: 'dc-1',
      hostId: host?.entry.id,
    }));
  }

  /** Carries an order to a host, with the faults of the fleet. */
  async order(
    { id, address }: HostTarget,
    carryOut: (host: EmulatedHost) => OrderResponse,
  ): Promise<OrderResponse> {
    await wait(1);
    const host = await this.#reach(id, address);
    if (host === undefined) return { type: 'refused', reason: 'other-life', clockMs: undefined };
    const drawn = this.#options.drawFault?.();
    if (drawn?.fault === 'late') {
      setTimeout(() => {
        if (host.isAlive) carryOut(host);
      }, drawn.delayMs);
    }
    const answer = drawn?.fault === 'late' ? undefined : carryOut(host);
    if (drawn === undefined && answer !== undefined) return answer;
    await wait(UNANSWERED_MS);
    throw new OrderUnansweredError('no answer');
  }

  /** Carries a hold to a host and waits for an end. */
  async hold({ id, address }: HostTarget, order: HoldOrder): Promise<HoldResponse> {
    await wait(1);
    const host = await this.#reach(id, address);
    if (host === undefined) return { type: 'refused', reason: 'other-life' };
    const until = this.#options.clock.readMonotonic() + order.waitMs;
    // The lease is extended and ends are forgotten when the hold arrives, not when it is answered.
    host.hold(order);
    while (host.isAlive && !host.hasEnds && this.#options.clock.readMonotonic() < until) {
      await wait(HOLD_POLL_MS);
    }
    if (!host.isAlive) throw new OrderUnansweredError('the host ended');
    await this.#reach(id, address);
    return host.hold(order);
  }

  /** Asks a host for its health; another life answers as if it were ill. */
  async checkHealth({ id, address }: HostTarget): Promise<boolean> {
    await wait(1);
    const host = await this.#reach(id, address);
    return host?.isWell ?? false;
  }

  /** Carries out an order about a machine; its host ends and another life comes up. */
  change(order: MachineOrder, pool: string | undefined, wave: number | undefined): MachineResponse {
    this.#options.onMachineOrder?.(order);
    const machine = this.#machines.get(order.machine);
    if (machine === undefined) return { type: 'invalid', reason: 'no such machine' };
    if (order.token < machine.token) return { type: 'fenced' };
    machine.token = order.token;
    const isDone = wave === undefined ? machine.pool === pool : machine.wave === wave;
    if (isDone) return { type: 'done' };
    if (machine.state !== 'up') return { type: 'busy' };
    this.#end(machine);
    machine.state = wave === undefined ? 'moving' : 'maintenance';
    machine.pool = pool ?? machine.pool;
    machine.wave = wave ?? machine.wave;
    setTimeout(() => this.#raise(machine), AWAY_MS);
    return { type: 'done' };
  }

  #require(name: string): EmulatedMachine {
    const machine = this.#machines.get(name);
    if (machine === undefined) throw new RangeError(`no machine "${name}"`);
    return machine;
  }

  async #reach(id: string, address: string): Promise<EmulatedHost | undefined> {
    const { toAddress } = this.#options;
    const machine =
      toAddress === undefined
        ? this.#machines.get(address)
        : [...this.#machines.values()].find(({ name }) => toAddress(name) === address);
    if (machine === undefined || this.#cut.has(machine.name)) {
      await wait(UNANSWERED_MS);
      throw new OrderUnansweredError('no answer');
    }
    if (machine.host === undefined) throw new OrderUnsentError('connection refused');
    return machine.host.entry.id === id ? machine.host : undefined;
  }

  #raise(machine: EmulatedMachine): void {
    this.#lives += 1;
    const { clock, script, store } = this.#options;
    const entry = {
      id: `host-${this.#lives}`,
      pool: machine.pool,
      address: this.#options.toAddress?.(machine.name) ?? machine.name,
      dataCentre: 'dc-1',
      state: 'ready' as const,
      labels: [machine.rack],
      rack: machine.rack,
      capacity: DEFAULT_CAPACITY,
      clockMs: 0,
      startedAtMs: undefined,
      machine: machine.name,
      remainingMs: undefined,
    };
    Object.assign(machine, {
      state: 'up',
      host: new EmulatedHost(entry, {
        clock,
        script,
        onStart: (run) => this.started.push(run),
      }),
    });
    store.write('hosts', entry.id, JSON.stringify(entry));
  }

  #end(machine: EmulatedMachine): void {
    const { host } = machine;
    if (host === undefined) return;
    host.kill();
    Object.assign(machine, { host: undefined });
    this.#options.store.write('hosts', host.entry.id, undefined);
  }
}
