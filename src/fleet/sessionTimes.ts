/** A session without log contact for this long makes no claims; others may then make them. */
export const SESSION_LEASE_MS = 10 * 60_000;

/** Largest difference between the clocks of any two of callers, gateways and the platform. */
export const CLOCK_SKEW_MS = 5_000;

/** Time in which a session that was ended by another has noticed it. */
export const RELEASE_DELAY_MS = 30_000;

/** Oldest idempotency key that is accepted, and how long a claim is kept. */
export const KEY_MAX_AGE_MS = 24 * 3_600_000;
