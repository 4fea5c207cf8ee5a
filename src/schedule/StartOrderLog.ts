import type { DelayCost } from './DelayCost.js';
import type { Occurrence } from './Occurrence.js';
import type { ScheduledStep } from './ScheduledStep.js';
import type { ShardOutput } from './ShardCommand.js';

/** Minimum interval in ms between log records of one pool. */
const LOG_INTERVAL_MS = 1_000;
/** Wait in ms of a job from which the order of its pool is logged; shorter waits are usual. */
const MIN_LOGGED_WAIT_MS = 500;

/** Logs in which order the jobs of a pool wait, so that the delay of a job can be explained. */
export class StartOrderLog {
  readonly #cost: DelayCost;

  readonly #output: ShardOutput;

  readonly #loggedAt = new Map<string, number>();

  constructor(cost: DelayCost, output: ShardOutput) {
    this.#cost = cost;
    this.#output = output;
  }

  /** Logs the steps of a pool that still wait after a round of starts, in their order. */
  report(
    pool: string,
    sorted: readonly ScheduledStep[],
    { now, nowWallMs }: { now: number; nowWallMs: number },
  ): void {
    if (now - (this.#loggedAt.get(pool) ?? -Infinity) < LOG_INTERVAL_MS) return;
    const waiting = new Set<Occurrence>();
    let maxWaitMs = 0;
    sorted.forEach(({ occurrence, units }) => {
      if (!units.hasWaiting) return;
      waiting.add(occurrence);
      const { job, scheduledWallMs } = occurrence;
      const from = Math.max(job.tracked.submittedAtMs, scheduledWallMs);
      maxWaitMs = Math.max(maxWaitMs, nowWallMs - from);
    });
    if (maxWaitMs < MIN_LOGGED_WAIT_MS) return;
    this.#loggedAt.set(pool, now);
    const ids = [...waiting].map(({ job }) => job.id);
    this.#output.record({
      decision: 'start-order',
      subject: pool,
      inputs: { ...this.#cost.countJobs(waiting, nowWallMs), first: ids[0], last: ids.at(-1) },
    });
  }
}
