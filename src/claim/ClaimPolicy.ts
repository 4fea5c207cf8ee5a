import type { Job, Outcome } from '../job/mod.js';
import type { ClaimAnswer } from './ClaimAnswer.js';

/** Decides, before the first byte of a job goes to an upstream host, whether it may be sent. */
export abstract class ClaimPolicy {
  /** Authorizes one sending of a job. Idempotent jobs and jobs without a key are always granted. */
  abstract authorize(job: Job): Promise<ClaimAnswer>;

  /** Takes note of how a granted job ended, so that a repeat of its key can be told. */
  abstract recordOutcome(job: Job, outcome: Outcome): void;
}
