/** A frozen process misses what its peers decide; they end its session after about 2 s. */
export const MAX_PAUSE_MS = 1_000;

/** Detects that the process did not run for a while, from readings of the monotonic clock. */
export class PauseDetector {
  #last: number;

  constructor(now: number) {
    this.#last = now;
  }

  /** Reads the time of a regular tick; true if the last one was too long ago. */
  readTick(now: number): boolean {
    const isPaused = now - this.#last > MAX_PAUSE_MS;
    this.#last = now;
    return isPaused;
  }
}
