import type { Clock } from '../clock/mod.js';
import type {
  Capacity,
  HoldResponse,
  HoldOrder,
  HostEntry,
  EndedRun,
  ActiveRun,
  OrderResponse,
  RunOutcome,
  StartOrder,
  StopOrder,
} from '../port/mod.js';

/** Time in ms after which a run fails on a host that fails everything. */
const FAILING_MS = 20;

/** Decides how a task goes when it is started on a host. */
export type TaskScript = (order: StartOrder) => { runMs: number; outcome: 'done' | 'failed' };

/** A start that a host carried out, for the checks of a test. */
export interface StartedRun {
  host: string;
  task: string;
  run: number;
  startedAt: number;
  endedAt: number | undefined;
  outcome: RunOutcome | 'lost' | undefined;
}

interface HostRun {
  order: StartOrder;
  started: StartedRun;
  /** Since when the task works, moved on by the time for which the host stood still. */
  worksSince: number;
  endsAt: number;
  outcome: 'done' | 'failed';
}

/** What an emulated host is made of. */
export interface EmulatedHostOptions {
  clock: Clock;
  script: TaskScript;
  /** Receives every start that is carried out. */
  onStart: (run: StartedRun) => void;
}

/**
 * One life of an upstream host: runs tasks under a lease, refuses orders of earlier owners and
 * orders about runs that were stopped, and lists ends until they are acknowledged.
 *
 * It does no I/O and keeps no timers: whoever holds it calls `settle` before looking at it.
 */
export class EmulatedHost {
  readonly entry: HostEntry;

  readonly #options: EmulatedHostOptions;

  readonly #bornAt: number;

  readonly #runs = new Map<string, HostRun>();

  /** Highest run of each task that was stopped or has ended here. */
  readonly #over = new Map<string, number>();

  #ends: EndedRun[] = [];

  #endCount = 0;

  #token = 0;

  #leaseEndMs = 0;

  #isAlive = true;

  #isWell = true;

  #isFailing = false;

  /** Steady time in ms since which no work gets done here. */
  #standsSince: number | undefined;

  constructor(entry: HostEntry, options: EmulatedHostOptions) {
    this.entry = entry;
    this.#options = options;
    this.#bornAt = options.clock.readMonotonic();
  }

  /** What the host says of its health. */
  get isWell(): boolean {
    return this.#isWell;
  }

  /** Sets what the host says of its health, true or not. */
  setHealth(isWell: boolean): void {
    this.#isWell = isWell;
  }

  /** Makes new runs fail soon after their start. */
  setFailing(isFailing: boolean): void {
    this.#isFailing = isFailing;
  }

  /** Makes all work stand still, or lets it go on; the host answers calls meanwhile. */
  setStanding(isStanding: boolean): void {
    this.settle();
    if (isStanding) {
      this.#standsSince ??= this.#now;
      return;
    }
    const stoodMs = this.#now - (this.#standsSince ?? this.#now);
    this.#standsSince = undefined;
    this.#runs.forEach((run) => {
      Object.assign(run, { worksSince: run.worksSince + stoodMs, endsAt: run.endsAt + stoodMs });
    });
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  get runCount(): number {
    this.settle();
    return this.#runs.size;
  }

  /** The host's own steady clock in ms. */
  get clockMs(): number {
    return Math.floor(this.#now - this.#bornAt);
  }

  /** Carries out what time has brought: finished tasks, and the end of the lease. */
  settle(): void {
    if (!this.#isAlive) return;
    const due = [...this.#runs.values()].filter(({ endsAt }) => endsAt <= this.#workTime);
    due.sort((one, other) => one.endsAt - other.endsAt);
    due
      .filter(({ endsAt }) => endsAt - this.#bornAt <= this.#leaseEndMs)
      .forEach((run) => this.#end(run, run.outcome, run.endsAt));
    if (this.clockMs <= this.#leaseEndMs) return;
    const expiredAt = this.#bornAt + this.#leaseEndMs;
    [...this.#runs.values()].forEach((run) => this.#end(run, 'expired', expiredAt));
  }

  /** Carries out a start. */
  start(order: StartOrder): OrderResponse {
    this.settle();
    const refused = this.#checkToken(order.token);
    if (refused !== undefined) return refused;
    const key = `${order.task}#${order.run}`;
    if (this.#runs.has(key)) return this.#accept();
    if ((this.#over.get(order.task) ?? 0) >= order.run) return this.#refuse('superseded');
    if (order.leaseEndMs < this.clockMs) return this.#refuse('late');
    this.#leaseEndMs = Math.max(this.#leaseEndMs, order.leaseEndMs);
    const script = this.#options.script(order);
    const runMs = this.#isFailing ? FAILING_MS : script.runMs;
    const outcome = this.#isFailing ? 'failed' : script.outcome;
    const started: StartedRun = {
      host: this.entry.id,
      task: order.task,
      run: order.run,
      startedAt: this.#now,
      endedAt: undefined,
      outcome: undefined,
    };
    const worksSince = this.#workTime;
    this.#runs.set(key, { order, started, worksSince, endsAt: worksSince + runMs, outcome });
    this.#options.onStart(started);
    return this.#accept();
  }

  /** Carries out a stop. */
  stop({ task, run, token }: StopOrder): OrderResponse {
    this.settle();
    const refused = this.#checkToken(token);
    if (refused !== undefined) return refused;
    const present = this.#runs.get(`${task}#${run}`);
    if (present !== undefined) this.#end(present, 'stopped', this.#now);
    this.#over.set(task, Math.max(run, this.#over.get(task) ?? 0));
    return this.#accept();
  }

  /** Carries out a hold. */
  hold({ token, acknowledged, leaseEndMs }: HoldOrder): HoldResponse {
    this.settle();
    const refused = this.#checkToken(token);
    if (refused?.type === 'refused') return { type: 'refused', reason: refused.reason };
    if (leaseEndMs !== undefined) this.#leaseEndMs = Math.max(this.#leaseEndMs, leaseEndMs);
    this.#ends = this.#ends.filter(({ sequence }) => sequence > acknowledged);
    const running = [...this.#runs.values()].map((run): ActiveRun => ({
      task: run.order.task,
      run: run.order.run,
      checkpoint: '',
      percent: this.#computeProgress(run),
      load: 1,
    }));
    return {
      type: 'report',
      report: { clockMs: this.clockMs, startedAtMs: undefined, running, ended: [...this.#ends] },
    };
  }

  /** Ends the life of the host with everything on it. */
  kill(): void {
    this.settle();
    this.#isAlive = false;
    this.#runs.forEach(({ started }) => {
      Object.assign(started, { endedAt: this.#now, outcome: 'lost' });
    });
    this.#runs.clear();
  }

  /** Checks whether ends wait to be listed, so that a waiting hold can answer. */
  get hasEnds(): boolean {
    this.settle();
    return this.#ends.length > 0;
  }

  get #now(): number {
    return this.#options.clock.readMonotonic();
  }

  /** Steady time in ms up to which work has been done here. */
  get #workTime(): number {
    return this.#standsSince ?? this.#now;
  }

  /** Computes how much of its work a task has done, in whole percents. */
  #computeProgress({ worksSince, endsAt }: HostRun): number {
    return Math.floor((100 * (this.#workTime - worksSince)) / Math.max(1, endsAt - worksSince));
  }

  #checkToken(token: number): (OrderResponse & { type: 'refused' }) | undefined {
    if (token < this.#token) return this.#refuse('fenced');
    this.#token = token;
    return undefined;
  }

  #accept(): OrderResponse {
    return { type: 'done', clockMs: this.clockMs };
  }

  #refuse(
    reason: (OrderResponse & { type: 'refused' })['reason'],
  ): OrderResponse & { type: 'refused' } {
    return { type: 'refused', reason, clockMs: this.clockMs };
  }

  #end(run: HostRun, outcome: RunOutcome, at: number): void {
    const { order, started } = run;
    this.#runs.delete(`${order.task}#${order.run}`);
    this.#over.set(order.task, Math.max(order.run, this.#over.get(order.task) ?? 0));
    Object.assign(started, { endedAt: at, outcome });
    this.#endCount += 1;
    this.#ends.push({
      sequence: this.#endCount,
      task: order.task,
      run: order.run,
      outcome,
      checkpoint: '',
    });
  }
}

/** Capacity of an emulated host where nothing else is said. */
export const DEFAULT_CAPACITY: Capacity = { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 };
