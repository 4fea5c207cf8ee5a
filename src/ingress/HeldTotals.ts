/** Sum of what the connections of a process occupy; each connection reports its changes. */
export class HeldTotals {
  #heldBytes = 0;

  #openRequests = 0;

  /** Estimated memory in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  get openRequests(): number {
    return this.#openRequests;
  }

  /** Adds differences, which may be negative. */
  change(bytes: number, requests: number): void {
    this.#heldBytes += bytes;
    this.#openRequests += requests;
  }
}
