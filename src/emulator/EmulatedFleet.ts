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

/** Duration of a move or of maintenance, in ms. */
const MACHINE_CHANGE_MS = 300;
/** Interval in ms for polling a host while a hold waits. */
const HOLD_POLL_MS = 5;
/** Time in ms after which an unanswered call to a host fails. */
const UNANSWERED_TIMEOUT_MS = 250;

/** A machine and the host incarnation on it. */
interface EmulatedMachine {
  name: string;
  pool: string;
  rack: string;
  state: MachineState;
  host: EmulatedHost | undefined;
  /** Highest fencing token of the orders for the machine. */
  token: number;
  wave: number | undefined;
}

/** Fault of an order to a host. */
export type OrderFault =
  /** The order is executed, but its response is lost. */
  | 'answer-lost'
  /** The order is not answered and is executed after a delay. */
  | 'late';

/** How calls to an unreachable host fail: without an answer, or since the connection is refused. */
type CallFailure = 'unanswered' | 'refused';

/** Options of an emulated fleet. */
export interface EmulatedFleetOptions {
  clock: Clock;
  store: EmulatedStore;
  script: TaskScript;
  /** Samples the fault of an order; undefined for no fault. */
  sampleFault?: () => { fault: OrderFault; delayMs: number } | undefined;
  /** Called with each order for a machine before its execution. */
  onMachineOrder?: (order: MachineOrder) => void;
  /** Returns the address of the host on a machine; by default the name of the machine. */
  toAddress?: (machine: string) => string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** In-memory machines and hosts, shared by all nodes. */
export class EmulatedFleet {
  readonly #options: EmulatedFleetOptions;

  readonly #machines = new Map<string, EmulatedMachine>();

  /** Machines whose hosts are unreachable, with the number of calls that have failed since. */
  readonly #unreachable = new Map<string, { failure: CallFailure; failedCalls: number }>();

  /** All runs that were started, in order. */
  readonly started: StartedRun[] = [];

  #incarnationCount = 0;

  constructor(options: EmulatedFleetOptions) {
    this.#options = options;
  }

  /** Adds a machine and starts a host on it. */
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
    this.#startHost(machine);
  }

  /** Lists pairs of runs of the same task that overlapped. */
  listOverlaps(): [StartedRun, StartedRun][] {
    this.advance();
    return listOverlaps(this.started);
  }

  /** Lists runs that were started after a run of the same task had completed. */
  listRepeats(): StartedRun[] {
    this.advance();
    return listRepeats(this.started);
  }

  /** Ends the host on a machine; the machine stays down until `restore`. */
  crash(name: string): void {
    const machine = this.#getMachine(name);
    this.#endHost(machine);
    machine.state = 'down';
  }

  /** Brings up a machine that is down, with a new incarnation of its host. */
  restore(name: string): void {
    this.#startHost(this.#getMachine(name));
  }

  /**
   * Ends the host on a machine and starts it again at once with the same identifier. Its entry is
   * written after a delay in ms; until then, the store has that of the former incarnation.
   */
  reboot(name: string, registersAfterMs = 0): void {
    const machine = this.#getMachine(name);
    if (machine.host === undefined) return;
    const { id } = machine.host.entry;
    machine.host.kill();
    const host = this.#createHost(machine, id);
    setTimeout(() => {
      if (host.isAlive) this.#options.store.write('hosts', id, JSON.stringify(host.entry));
    }, registersAfterMs);
  }

  /** Sets the health check result of the host on a machine, independent of its behaviour. */
  setHealth(name: string, isWell: boolean): void {
    this.#getMachine(name).host?.setHealth(isWell);
  }

  /** Makes new runs on a machine fail, or lets them succeed again. */
  setFailing(name: string, isFailing: boolean): void {
    this.#getMachine(name).host?.setFailing(isFailing);
  }

  /** Stalls the runs on a machine, or lets them continue. */
  setStalled(name: string, isStalled: boolean): void {
    this.#getMachine(name).host?.setStalled(isStalled);
  }

  /** Partitions the host on a machine from the nodes, or reconnects it; its runs continue. */
  setPartitioned(name: string, isPartitioned: boolean): void {
    this.#setUnreachable(name, isPartitioned ? 'unanswered' : undefined);
  }

  /** Makes the host on a machine refuse connections, or accept them again; its runs continue. */
  setRefusing(name: string, isRefusing: boolean): void {
    this.#setUnreachable(name, isRefusing ? 'refused' : undefined);
  }

  /** Counts the calls to the host on a machine that have failed since it became unreachable. */
  countFailedCalls(name: string): number {
    return this.#unreachable.get(name)?.failedCalls ?? 0;
  }

  /** Advances every host to the current time. */
  advance(): void {
    this.#machines.forEach(({ host }) => host?.advance());
  }

  /** Creates the client of a node for orders to hosts. */
  connectHosts(): HostOrders {
    return new HostConnection(this);
  }

  /** Creates the client of a node for the machine provider. */
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

  /** Executes an order on a host, with the sampled fault. */
  async order(
    { id, address }: HostTarget,
    execute: (host: EmulatedHost) => OrderResponse,
  ): Promise<OrderResponse> {
    await wait(1);
    const host = await this.#locateHost(id, address);
    if (host === undefined) return { type: 'refused', reason: 'other-life', clockMs: undefined };
    const sampledFault = this.#options.sampleFault?.();
    if (sampledFault?.fault === 'late') {
      setTimeout(() => {
        if (host.isAlive) execute(host);
      }, sampledFault.delayMs);
    }
    const answer = sampledFault?.fault === 'late' ? undefined : execute(host);
    if (sampledFault === undefined && answer !== undefined) return answer;
    await wait(UNANSWERED_TIMEOUT_MS);
    throw new OrderUnansweredError('no answer');
  }

  /** Executes a hold on a host and waits until a run ends. */
  async hold({ id, address }: HostTarget, order: HoldOrder): Promise<HoldResponse> {
    await wait(1);
    const host = await this.#locateHost(id, address);
    if (host === undefined) return { type: 'refused', reason: 'other-life' };
    const deadline = this.#options.clock.readMonotonic() + order.waitMs;
    // The host renews the lease and drops acknowledged ends when the hold arrives, not on response.
    host.hold(order);
    while (
      host.isAlive &&
      !host.hasUnacknowledgedEnds &&
      this.#options.clock.readMonotonic() < deadline
    ) {
      await wait(HOLD_POLL_MS);
    }
    if (!host.isAlive) throw new OrderUnansweredError('the host ended during the hold');
    await this.#locateHost(id, address);
    // The acknowledgement refers to the ends that the host had when the hold arrived.
    return host.hold({ ...order, acknowledged: 0 });
  }

  /** Returns the health check result of a host; false if another incarnation responds. */
  async checkHealth({ id, address }: HostTarget): Promise<boolean> {
    await wait(1);
    const host = await this.#locateHost(id, address);
    return host?.isWell ?? false;
  }

  /** Executes an order for a machine: its host ends and a new incarnation starts. */
  change(order: MachineOrder, pool: string | undefined, wave: number | undefined): MachineResponse {
    this.#options.onMachineOrder?.(order);
    const machine = this.#machines.get(order.machine);
    if (machine === undefined) return { type: 'invalid', reason: 'no such machine' };
    if (order.token < machine.token) return { type: 'fenced' };
    machine.token = order.token;
    const isDone = wave === undefined ? machine.pool === pool : machine.wave === wave;
    if (isDone) return { type: 'done' };
    if (machine.state !== 'up') return { type: 'busy' };
    this.#endHost(machine);
    machine.state = wave === undefined ? 'moving' : 'maintenance';
    machine.pool = pool ?? machine.pool;
    machine.wave = wave ?? machine.wave;
    setTimeout(() => this.#startHost(machine), MACHINE_CHANGE_MS);
    return { type: 'done' };
  }

  #setUnreachable(name: string, failure: CallFailure | undefined): void {
    if (failure === undefined) this.#unreachable.delete(name);
    else this.#unreachable.set(name, { failure, failedCalls: 0 });
  }

  #getMachine(name: string): EmulatedMachine {
    const machine = this.#machines.get(name);
    if (machine === undefined) throw new RangeError(`no machine "${name}"`);
    return machine;
  }

  async #locateHost(id: string, address: string): Promise<EmulatedHost | undefined> {
    const { toAddress } = this.#options;
    const machine =
      toAddress === undefined
        ? this.#machines.get(address)
        : [...this.#machines.values()].find(({ name }) => toAddress(name) === address);
    const unreachable = this.#unreachable.get(machine?.name ?? '');
    if (unreachable !== undefined) unreachable.failedCalls += 1;
    if (machine === undefined || unreachable?.failure === 'unanswered') {
      await wait(UNANSWERED_TIMEOUT_MS);
      throw new OrderUnansweredError('no answer');
    }
    if (machine.host === undefined || unreachable?.failure === 'refused')
      throw new OrderUnsentError('connection refused');
    return machine.host.entry.id === id ? machine.host : undefined;
  }

  /** Starts a host with a new identifier on a machine. */
  #startHost(machine: EmulatedMachine): void {
    this.#incarnationCount += 1;
    const { entry } = this.#createHost(machine, `host-${this.#incarnationCount}`);
    this.#options.store.write('hosts', entry.id, JSON.stringify(entry));
  }

  #createHost(machine: EmulatedMachine, id: string): EmulatedHost {
    const { clock, script } = this.#options;
    const entry = {
      id,
      pool: machine.pool,
      address: this.#options.toAddress?.(machine.name) ?? machine.name,
      dataCentre: 'dc-1',
      state: 'ready' as const,
      labels: [machine.rack],
      rack: machine.rack,
      capacity: DEFAULT_CAPACITY,
      clockMs: 0,
      startedAtMs: Math.floor(clock.readWall()),
      machine: machine.name,
      remainingMs: undefined,
    };
    const host = new EmulatedHost(entry, {
      clock,
      script,
      onStart: (run) => this.started.push(run),
    });
    Object.assign(machine, { state: 'up', host });
    return host;
  }

  #endHost(machine: EmulatedMachine): void {
    const { host } = machine;
    if (host === undefined) return;
    host.kill();
    Object.assign(machine, { host: undefined });
    this.#options.store.write('hosts', host.entry.id, undefined);
  }
}
