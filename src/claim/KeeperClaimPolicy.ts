import type { Job } from '../job/mod.js';
import type { ClaimAnswer, ClaimLocation } from './ClaimAnswer.js';
import type { ClaimKeeper } from './ClaimKeeper.js';
import { ClaimPolicy } from './ClaimPolicy.js';
import { refuseClaim } from './refuseClaim.js';

/** Claims keys through the gateway's `ClaimKeeper`. */
export class KeeperClaimPolicy extends ClaimPolicy {
  readonly #keeper: ClaimKeeper;

  constructor(keeper: ClaimKeeper) {
    super();
    this.#keeper = keeper;
  }

  override async locate(job: Job): Promise<ClaimLocation> {
    if (job.idempotent || job.key === undefined) return { verdict: 'here' };
    try {
      return await this.#keeper.ask<ClaimLocation>((reply) => ({ type: 'locate', job, reply }));
    } catch {
      return refuseClaim('the owner of the key could not be found in time');
    }
  }

  override async authorize(job: Job): Promise<ClaimAnswer> {
    if (job.idempotent || job.key === undefined) return { verdict: 'granted' };
    try {
      return await this.#keeper.ask<ClaimAnswer>((reply) => ({ type: 'authorize', job, reply }));
    } catch {
      return refuseClaim('the claim took too long');
    }
  }

  override recordOutcome(job: Job, outcome: 'ran' | 'not-run' | 'unknown'): void {
    if (job.idempotent || job.key === undefined) return;
    this.#keeper.send({ type: 'finished', key: job.key, outcome });
  }
}
