import type { TimeReading } from '../clock/mod.js';

/** Part of the revocation limit that is kept for the drift of clocks. */
const CLOCK_DRIFT = 0.02;
/** A key is reported as unknown only if the configuration was the newest at most this time ago. */
const MAX_CURRENT_AGE_MS = 1_500;
/**
 * Time in ms before the proof expires at which the node stops being ready: the load balancer checks
 * once a second and needs two failed checks, each of which may take a while.
 */
const READINESS_LEAD_MS = 2_500;

/**
 * Decides from the age of the proof of a configuration what its API keys may be used for.
 *
 * The proof is the time at which a read was sent that reached the end of the operator's log: the
 * configuration was the newest then, and a key that it contains may have been removed right after.
 *
 * @example
 * ```ts
 * const proof = new KeyProof(5_000);
 * proof.set(new TimeReading(0, 80_000));
 * proof.isValid(new TimeReading(4_800, 84_800)); // true
 * proof.isValid(new TimeReading(100, 86_000)); // false: the machine was suspended
 * ```
 */
export class KeyProof {
  readonly #limitMs: number | undefined;

  #provenAt: TimeReading | undefined;

  /**
   * @param revocationLimitMs Time in ms after its removal from which a key may not be served;
   * undefined if there is no limit.
   */
  constructor(revocationLimitMs: number | undefined) {
    this.#limitMs =
      revocationLimitMs === undefined ? undefined : revocationLimitMs * (1 - CLOCK_DRIFT);
  }

  /** Sets the time at which the configuration is known to have been the newest. */
  set(provenAt: TimeReading | undefined): void {
    this.#provenAt = provenAt;
  }

  /**
   * Computes for how long, in ms, calls with a key of the configuration may still be answered;
   * `Infinity` if there is no limit.
   */
  computeValidity(now: TimeReading): number {
    if (this.#provenAt === undefined) return 0;
    if (this.#limitMs === undefined) return Infinity;
    return Math.max(0, this.#limitMs - this.#provenAt.computeAge(now));
  }

  /** Checks whether calls with a key of the configuration may be answered. */
  isValid(now: TimeReading): boolean {
    return this.computeValidity(now) > 0;
  }

  /** Checks whether a key that the configuration lacks is unknown; it may just have been added. */
  isCurrent(now: TimeReading): boolean {
    return this.#provenAt !== undefined && this.#provenAt.computeAge(now) <= MAX_CURRENT_AGE_MS;
  }

  /** Checks whether the proof is valid for so long that new callers may be sent to this node. */
  isReady(now: TimeReading): boolean {
    if (this.#provenAt === undefined) return false;
    if (this.#limitMs === undefined) return true;
    const readyMs = Math.max(this.#limitMs / 2, this.#limitMs - READINESS_LEAD_MS);
    return this.#provenAt.computeAge(now) < readyMs;
  }
}
