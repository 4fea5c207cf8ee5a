import type { CallResponse } from './CallResponse.js';

/** Permission to answer one call on behalf of an organisation. It may end while the call is served. */
export class CallAccess {
  /** Organisation whose key the call carries; undefined if it needs none. */
  readonly organisation: string | undefined;

  readonly #check: () => CallResponse | undefined;

  constructor(organisation: string | undefined, check: () => CallResponse | undefined) {
    this.organisation = organisation;
    this.#check = check;
  }

  /** Decides again whether the call may be answered; returns the response if it is refused. */
  check(): CallResponse | undefined {
    return this.#check();
  }

  /** Checks whether a job belongs to another organisation than the call. */
  isForeign(owner: string | undefined): boolean {
    return owner !== undefined && this.organisation !== undefined && owner !== this.organisation;
  }
}
