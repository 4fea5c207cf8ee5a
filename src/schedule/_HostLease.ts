/** Maximum fraction by which a host's clock may run slower than the owner's clock. */
export const MAX_CLOCK_DRIFT = 0.02;
/** Margin in ms added to the computed expiry of a lease, for timer granularity on both sides. */
const LEASE_MARGIN_MS = 150;

/**
 * The lease of a host's runs, as far as it is known: the host measures it on its own monotonic
 * clock, and it may have been granted by this owner or by a previous one.
 */
export class HostLease {
  #clockMs: number | undefined;

  #clockReadAt = 0;

  #endMs = 0;

  /** Monotonic time of the last order that may have granted a lease. */
  #grantedAt = 0;

  /** Latest expiry, on the host's clock, of leases granted by previous owners. */
  #inheritedEndMs = 0;

  /** Records a reading of the host's clock at a time of the owner's monotonic clock. */
  setClock(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
  }

  /** Takes over leases of previous owners, which may last for `leaseMs` from the last reading. */
  adopt(leaseMs: number): void {
    this.#inheritedEndMs = (this.#clockMs ?? 0) + leaseMs;
    this.#grantedAt = Math.max(this.#grantedAt, this.#clockReadAt);
  }

  /** Computes the expiry of a new lease on the host's clock; undefined if that clock is unknown. */
  computeEnd(leaseMs: number, now: number): number | undefined {
    if (this.#clockMs === undefined) return undefined;
    this.#grantedAt = now;
    const end = Math.floor(this.#clockMs + (now - this.#clockReadAt) + leaseMs);
    this.#endMs = Math.max(this.#endMs, end);
    return this.#endMs;
  }

  /**
   * Computes the monotonic time by which all leases have expired; undefined if the host's clock is
   * unknown. The clock of a host that has restarted unnoticed starts anew, so the end of a lease may
   * seem further away than the longest lease allows.
   */
  computeExpiry(maxLeaseMs: number): number | undefined {
    if (this.#clockMs === undefined) return undefined;
    const endMs = Math.max(this.#endMs, this.#inheritedEndMs);
    const remainingMs = Math.max(0, endMs - this.#clockMs);
    const expiry = Math.min(
      this.#clockReadAt + remainingMs * (1 + MAX_CLOCK_DRIFT),
      this.#grantedAt + maxLeaseMs * (1 + MAX_CLOCK_DRIFT),
    );
    return expiry + LEASE_MARGIN_MS;
  }
}
