/** Time in ms after which the outcome of a run says nothing about its host any more. */
export const OUTCOME_MEMORY_MS = 30_000;
/** Number of outcomes that are kept; a host that fails everything has many in the time. */
const MAX_OUTCOMES = 50;

interface Outcome {
  at: number;
  /** Job whose run has failed; undefined for a good run. */
  failedJob: string | undefined;
}

/** The outcomes of the runs on a host in the last 30 s. */
export class OutcomeWindow {
  #outcomes: Outcome[] = [];

  constructor(readonly pool: string) {}

  /** Adds a failed run of a job or, without a job, a good run, at a monotonic time in ms. */
  add(failedJob: string | undefined, at: number): void {
    this.#outcomes.push({ at, failedJob });
    if (this.#outcomes.length > MAX_OUTCOMES) this.#outcomes.shift();
  }

  /** Lists the jobs of the failed runs since the last good one, one entry for each run. */
  listFailuresInRow(now: number): string[] {
    this.#prune(now);
    const lastGood = this.#outcomes.findLastIndex(({ failedJob }) => failedJob === undefined);
    return this.#outcomes.slice(lastGood + 1).flatMap(({ failedJob }) => failedJob ?? []);
  }

  /** Computes the share of failed runs, 0 to 1; undefined if there is no outcome. */
  computeFailureShare(now: number): number | undefined {
    this.#prune(now);
    if (this.#outcomes.length === 0) return undefined;
    const failed = this.#outcomes.filter(({ failedJob }) => failedJob !== undefined);
    return failed.length / this.#outcomes.length;
  }

  #prune(now: number): void {
    this.#outcomes = this.#outcomes.filter(({ at }) => now - at <= OUTCOME_MEMORY_MS);
  }
}
