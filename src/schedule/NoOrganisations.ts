import { CallerStanding } from './CallerStanding.js';

/** Standing in deployments without organisations: all jobs are equal. */
export class NoOrganisations extends CallerStanding {
  override isWithinRate(): boolean {
    return true;
  }

  override isAboveShare(): boolean {
    return false;
  }
}
