import type { Job, Outcome } from '../job/mod.js';
import type { ClaimAnswer, ClaimLocation } from './ClaimAnswer.js';

/** Decides, before the first byte of a job goes to an upstream host, whether it may be sent. */
export abstract class ClaimPolicy {
  /** Authorizes one sending of a job. Idempotent jobs and jobs without a key are always granted. */
  abstract authorize(job: Job): Promise<ClaimAnswer>;

  /**
   * Finds, before a job waits for a slot, the gateway that has to run it. Jobs that need no claim run
   * here.
   */
  abstract locate(job: Job): Promise<ClaimLocation>;

  /**
   * Takes note of how a granted job ended, so that a repeat of its key can be told. `not-run` releases
   * the claim: the job was certainly not sent, and its key may be used again.
   */
  abstract recordOutcome(job: Job, outcome: Outcome): void;
}
