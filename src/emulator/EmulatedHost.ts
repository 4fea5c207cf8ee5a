import type { Clock } from '../clock/mod.js';
import type {
  Capacity,
  HoldAnswer,
  HoldOrder,
  HostEntry,
  ListedEnd,
  ListedRun,
  OrderAnswer,
  RunOutcome,
  StartOrder,
  StopOrder,
} from '../port/mod.js';

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

  #ends: ListedEnd[] = [];

  #endCount = 0;

  #token = 0;

  #leaseEndMs = 0;

  #isAlive = true;

  #isWell = true;

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
    const due = [...this.#runs.values()].filter(({ endsAt }) => endsAt <= this.#now);
    due.sort((one, other) => one.endsAt - other.endsAt);
    due
      .filter(({ endsAt }) => endsAt - this.#bornAt <= this.#leaseEndMs)
      .forEach((run) => this.#end(run, run.outcome, run.endsAt));
    if (this.clockMs <= this.#leaseEndMs) return;
    const expiredAt = this.#bornAt + this.#leaseEndMs;
    [...this.#runs.values()].forEach((run) => this.#end(run, 'expired', expiredAt));
  }

  /** Carries out a start. */
  start(order: StartOrder): OrderAnswer {
    this.settle();
    const refused = this.#checkToken(order.token);
    if (refused !== undefined) return refused;
    const key = `${order.task}#${order.run}`;
    if (this.#runs.has(key)) return this.#accept();
    if ((this.#over.get(order.task) ?? 0) >= order.run) return this.#refuse('superseded');
    if (order.leaseEndMs < this.clockMs) return this.#refuse('late');
    this.#leaseEndMs = Math.max(this.#leaseEndMs, order.leaseEndMs);
    const { runMs, outcome } = this.#options.script(order);
    const started: StartedRun = {
      host: this.entry.id,
      task: order.task,
      run: order.run,
      startedAt: this.#now,
      endedAt: undefined,
      outcome: undefined,
    };
    this.#runs.set(key, { order, started, endsAt: this.#now + runMs, outcome });
    this.#options.onStart(started);
    return this.#accept();
  }

  /** Carries out a stop. */
  stop({ task, run, token }: StopOrder): OrderAnswer {
    this.settle();
    const refused = this.#checkToken(token);
    if (refused !== undefined) return refused;
    const present = this.#runs.get(`${task}#${run}`);
    if (present !== undefined) this.#end(present, 'stopped', this.#now);
    this.#over.set(task, Math.max(run, this.#over.get(task) ?? 0));
    return this.#accept();
  }

  /** Carries out a hold. */
  hold({ token, acknowledged, leaseEndMs }: HoldOrder): HoldAnswer {
    this.settle();
    const refused = this.#checkToken(token);
    if (refused?.type === 'refused') return { type: 'refused', reason: refused.reason };
    if (leaseEndMs !== undefined) this.#leaseEndMs = Math.max(this.#leaseEndMs, leaseEndMs);
    this.#ends = this.#ends.filter(({ number }) => number > acknowledged);
    const running = [...this.#runs.values()].map(({ order, started, endsAt }): ListedRun => ({
      task: order.task,
      run: order.run,
      checkpoint: '',
      percent: this.#computeProgress(started.startedAt, endsAt),
      load: 1,
    }));
    return {
      type: 'report',
      report: { clockMs: this.clockMs, bornMs: undefined, running, ended: [...this.#ends] },
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

  /** Computes how much of its work a task has done, in whole percents. */
  #computeProgress(startedAt: number, endsAt: number): number {
    return Math.floor((100 * (this.#now - startedAt)) / Math.max(1, endsAt - startedAt));
  }

  #checkToken(token: number): (OrderAnswer & { type: 'refused' }) | undefined {
    if (token < this.#token) return this.#refuse('fenced');
    this.#token = token;
    return undefined;
  }

  #accept(): OrderAnswer {
    return { type: 'done', clockMs: this.clockMs };
  }

  #refuse(
    reason: (OrderAnswer & { type: 'refused' })['reason'],
  ): OrderAnswer & { type: 'refused' } {
    return { type: 'refused', reason, clockMs: this.clockMs };
  }

  #end(run: HostRun, outcome: RunOutcome, at: number): void {
    const { order, started } = run;
    this.#runs.delete(`${order.task}#${order.run}`);
    this.#over.set(order.task, Math.max(order.run, this.#over.get(order.task) ?? 0));
    Object.assign(started, { endedAt: at, outcome });
    this.#endCount += 1;
    this.#ends.push({
      number: this.#endCount,
      task: order.task,
      run: order.run,
      outcome,
      checkpoint: '',
    });
  }
}

/** Capacity of an emulated host where nothing else is said. */
export const DEFAULT_CAPACITY: Capacity = { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 };
