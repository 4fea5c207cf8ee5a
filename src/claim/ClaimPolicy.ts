import type { Job, Outcome } from '../job/mod.js';
import type { ClaimAnswer, ClaimLocation } from './ClaimAnswer.js';

/** Decides whether a job may be sent, before its first byte goes to an upstream host. */
export abstract class ClaimPolicy {
  /** Authorizes sending a job once. Idempotent jobs and jobs without a key are always granted. */
  abstract authorize(job: Job): Promise<ClaimAnswer>;

  /**
   * Finds the gateway that must run a job, before the job waits for a slot. Jobs that need no claim
   * run on this gateway.
   */
  abstract locate(job: Job): Promise<ClaimLocation>;

  /**
   * Records how a granted job ended, so that a repeated key can be answered. `not-run` releases the
   * claim: the job was certainly not sent, so its key may be used again.
   */
  abstract recordOutcome(job: Job, outcome: Outcome): void;
}
