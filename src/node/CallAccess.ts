import type { CallResponse } from './CallResponse.js';

/** For how long, in ms, a call may be answered. */
export interface CallValidity {
  validMs: number;
}

/** Permission to answer one call on behalf of an organisation. It may end while the call is served. */
export class CallAccess {
  /** Organisation whose key the call carries; undefined if it needs none. */
  readonly organisation: string | undefined;

  readonly #checkAgain: () => CallValidity | CallResponse;

  constructor(organisation: string | undefined, checkAgain: () => CallValidity | CallResponse) {
    this.organisation = organisation;
    this.#checkAgain = checkAgain;
  }

  /** Decides again whether the call may be answered; returns the response if it is refused. */
  check(): CallResponse | undefined {
    const decision = this.#checkAgain();
    return 'type' in decision ? decision : undefined;
  }

  /** Computes for how long, in ms, the call may still be answered; 0 if it may not. */
  computeValidity(): number {
    const decision = this.#checkAgain();
    return 'type' in decision ? 0 : decision.validMs;
  }

  /** Checks whether a job belongs to another organisation than the call. */
  isForeign(owner: string | undefined): boolean {
    return owner !== undefined && this.organisation !== undefined && owner !== this.organisation;
  }
}
