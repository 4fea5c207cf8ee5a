/** A suspended process misses its peers' decisions; they end its session after about 2 s. */
export const MAX_PAUSE_MS = 1_000;

/** Detects that the process was suspended, from clock readings taken at a regular interval. */
export class PauseDetector {
  #lastTickAt: number;

  constructor(now: number) {
    this.#lastTickAt = now;
  }

  /** Records a regular tick; returns true if the previous one was more than `MAX_PAUSE_MS` ago. */
  recordTick(now: number): boolean {
    const isPaused = now - this.#lastTickAt > MAX_PAUSE_MS;
    this.#lastTickAt = now;
    return isPaused;
  }
}
