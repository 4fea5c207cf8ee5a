/** A frozen process misses what its peers decide; they end its session after about 2 s. */
export const MAX_PAUSE_MS = 1_000;

/** Detects that the process did not run for a while, from readings of the monotonic clock. */
export class PauseDetector {
  #lastTickAt: number;

  constructor(now: number) {
    this.#lastTickAt = now;
  }

  /** Reads the time of a regular tick; true if the last one was too long ago. */
  recordTick(now: number): boolean {
    const isPaused = now - this.#lastTickAt > MAX_PAUSE_MS;
    this.#lastTickAt = now;
    return isPaused;
  }
}
