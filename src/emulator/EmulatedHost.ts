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

/** Duration in ms of a run on a failing host. */
const FAILURE_DELAY_MS = 20;

/** Maximum number of ends in one report. */
const MAX_ENDS_PER_REPORT = 500;

/** Decides the duration and the outcome of a run. */
export type TaskScript = (order: StartOrder) => { runMs: number; outcome: 'done' | 'failed' };

/** A run that a host started, for assertions in tests. */
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
  /** Start of the work, shifted by the time for which the host was stalled. */
  workStartedAt: number;
  endsAt: number;
  outcome: 'done' | 'failed';
}

/** Options of an emulated host. */
export interface EmulatedHostOptions {
  clock: Clock;
  script: TaskScript;
  /** Called with every run that is started. */
  onStart: (run: StartedRun) => void;
}

/**
 * One incarnation of an upstream host: runs tasks under a lease, rejects orders of earlier owners and
 * starts of superseded runs, and reports ended runs until they are acknowledged.
 *
 * It does no I/O and sets no timers; callers use `advance` to apply the effects of elapsed time
 * before they inspect it.
 */
export class EmulatedHost {
  readonly entry: HostEntry;

  readonly #options: EmulatedHostOptions;

  readonly #startedAt: number;

  readonly #runs = new Map<string, HostRun>();

  /** Highest run number per task that was stopped or has ended on this host. */
  readonly #highestEndedRun = new Map<string, number>();

  #unacknowledgedEnds: EndedRun[] = [];

  #endCount = 0;

  #token = 0;

  #leaseEndMs = 0;

  #isAlive = true;

  #isWell = true;

  #isFailing = false;

  /** Monotonic time in ms since which runs are stalled; undefined if they are not. */
  #stalledSince: number | undefined;

  constructor(entry: HostEntry, options: EmulatedHostOptions) {
    this.entry = entry;
    this.#options = options;
    this.#startedAt = options.clock.readMonotonic();
  }

  /** Health check result of the host. */
  get isWell(): boolean {
    return this.#isWell;
  }

  /** Sets the health check result, independent of the behaviour of the host. */
  setHealth(isWell: boolean): void {
    this.#isWell = isWell;
  }

  /** Makes new runs fail soon after their start, or lets them succeed again. */
  setFailing(isFailing: boolean): void {
    this.#isFailing = isFailing;
  }

  /** Stalls all runs, or lets them continue; a stalled host still responds to orders. */
  setStalled(isStalled: boolean): void {
    this.advance();
    if (isStalled) {
      this.#stalledSince ??= this.#now;
      return;
    }
    const stalledMs = this.#now - (this.#stalledSince ?? this.#now);
    this.#stalledSince = undefined;
    this.#runs.forEach((run) => {
      Object.assign(run, {
        workStartedAt: run.workStartedAt + stalledMs,
        endsAt: run.endsAt + stalledMs,
      });
    });
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  get runCount(): number {
    this.advance();
    return this.#runs.size;
  }

  /** Reading of the host's monotonic clock in ms. */
  get clockMs(): number {
    return Math.floor(this.#now - this.#startedAt);
  }

  /** Advances to the current time: finishes runs that are due and applies the lease expiry. */
  advance(): void {
    if (!this.#isAlive) return;
    const due = [...this.#runs.values()].filter(({ endsAt }) => endsAt <= this.#workClock);
    due.sort((one, other) => one.endsAt - other.endsAt);
    due
      .filter(({ endsAt }) => endsAt - this.#startedAt <= this.#leaseEndMs)
      .forEach((run) => this.#end(run, run.outcome, run.endsAt));
    if (this.clockMs <= this.#leaseEndMs) return;
    const expiredAt = this.#startedAt + this.#leaseEndMs;
    [...this.#runs.values()].forEach((run) => this.#end(run, 'expired', expiredAt));
  }

  /** Executes a start order. */
  start(order: StartOrder): OrderResponse {
    this.advance();
    const refused = this.#checkToken(order.token);
    if (refused !== undefined) return refused;
    const key = `${order.task}#${order.run}`;
    if (this.#runs.has(key)) return this.#accept();
    if ((this.#highestEndedRun.get(order.task) ?? 0) >= order.run)
      return this.#refuse('superseded');
    if (order.leaseEndMs < this.clockMs) return this.#refuse('late');
    this.#leaseEndMs = Math.max(this.#leaseEndMs, order.leaseEndMs);
    const script = this.#options.script(order);
    const runMs = this.#isFailing ? FAILURE_DELAY_MS : script.runMs;
    const outcome = this.#isFailing ? 'failed' : script.outcome;
    const started: StartedRun = {
      host: this.entry.id,
      task: order.task,
      run: order.run,
      startedAt: this.#now,
      endedAt: undefined,
      outcome: undefined,
    };
    const workStartedAt = this.#workClock;
    this.#runs.set(key, { order, started, workStartedAt, endsAt: workStartedAt + runMs, outcome });
    this.#options.onStart(started);
    return this.#accept();
  }

  /** Executes a stop order. */
  stop({ task, run, token }: StopOrder): OrderResponse {
    this.advance();
    const refused = this.#checkToken(token);
    if (refused !== undefined) return refused;
    const activeRun = this.#runs.get(`${task}#${run}`);
    if (activeRun !== undefined) this.#end(activeRun, 'stopped', this.#now);
    this.#highestEndedRun.set(task, Math.max(run, this.#highestEndedRun.get(task) ?? 0));
    return this.#accept();
  }

  /** Executes a hold order. */
  hold({ token, acknowledged, leaseEndMs }: HoldOrder): HoldResponse {
    this.advance();
    const refused = this.#checkToken(token);
    if (refused?.type === 'refused') return { type: 'refused', reason: refused.reason };
    if (leaseEndMs !== undefined) this.#leaseEndMs = Math.max(this.#leaseEndMs, leaseEndMs);
    this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(
      ({ sequence }) => sequence > acknowledged,
    );
    const running = [...this.#runs.values()].map((run): ActiveRun => ({
      task: run.order.task,
      run: run.order.run,
      checkpoint: '',
      percent: this.#computeProgress(run),
      load: 1,
    }));
    return {
      type: 'report',
      report: {
        clockMs: this.clockMs,
        startedAtMs: this.entry.startedAtMs,
        running,
        ended: this.#unacknowledgedEnds.slice(0, MAX_ENDS_PER_REPORT),
        hasMoreEnds: this.#unacknowledgedEnds.length > MAX_ENDS_PER_REPORT,
      },
    };
  }

  /** Ends the host and all of its runs. */
  kill(): void {
    this.advance();
    this.#isAlive = false;
    this.#runs.forEach(({ started }) => {
      Object.assign(started, { endedAt: this.#now, outcome: 'lost' });
    });
    this.#runs.clear();
  }

  /** Whether ended runs are unacknowledged, so that a waiting hold can respond. */
  get hasUnacknowledgedEnds(): boolean {
    this.advance();
    return this.#unacknowledgedEnds.length > 0;
  }

  get #now(): number {
    return this.#options.clock.readMonotonic();
  }

  /** Monotonic time in ms up to which runs have made progress. */
  get #workClock(): number {
    return this.#stalledSince ?? this.#now;
  }

  /** Computes the completed share of the work of a run, as a whole percentage. */
  #computeProgress({ workStartedAt, endsAt }: HostRun): number {
    return Math.floor(
      (100 * (this.#workClock - workStartedAt)) / Math.max(1, endsAt - workStartedAt),
    );
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
    this.#highestEndedRun.set(
      order.task,
      Math.max(order.run, this.#highestEndedRun.get(order.task) ?? 0),
    );
    Object.assign(started, { endedAt: at, outcome });
    this.#endCount += 1;
    this.#unacknowledgedEnds.push({
      sequence: this.#endCount,
      task: order.task,
      run: order.run,
      outcome,
      checkpoint: '',
    });
  }
}

/** Capacity of an emulated host. */
export const DEFAULT_CAPACITY: Capacity = { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 };
