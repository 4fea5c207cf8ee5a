/**
 * A session stops making claims after this time without contact with the log; others may then make
 * them.
 */
export const SESSION_LEASE_MS = 10 * 60_000;

/** Maximum difference between the clocks of any two of callers, gateways and the platform. */
export const CLOCK_SKEW_MS = 5_000;

/** Time within which a session notices that another session has ended it. */
export const RELEASE_DELAY_MS = 30_000;

/** Maximum age of an accepted idempotency key, and the retention of claims. */
export const KEY_MAX_AGE_MS = 24 * 3_600_000;
