import { ANY_DATA_CENTRE, type WorkLogChange, type OwnerRecord } from '../workLog/mod.js';

/**
 * Knows of which data centres' jobs earlier owners may have started tasks without a record.
 *
 * Out of contact with the store an owner starts tasks of its own data centre, and all others once
 * every other node that it knows of has confirmed that the store is away. A node that the owner
 * knows of, and that has confirmed nothing, so knows that the owner has not started the others. The
 * owner knows of a node when it has read the log past the record of the node's registration.
 *
 * @example
 * ```ts
 * starts.applyChange(change);
 * starts.list(owner); // ['bzh-a']
 * ```
 */
export class UnrecordedStarts {
  readonly #session: string;

  /** Offset of the own registration in the work log. */
  #registrationOffset = Infinity;

  /** Tokens of owners that may have started anything, as this node has told them. */
  readonly #confirmedTokens = new Set<number>();

  /** `session` is the run of the own process. */
  constructor(session: string) {
    this.#session = session;
  }

  /** Takes note of the own registration. */
  applyChange(change: WorkLogChange): void {
    if (change.type !== 'node' || change.node?.session !== this.#session) return;
    this.#registrationOffset = Math.min(this.#registrationOffset, change.offset);
  }

  /** Records that this node has told the owner of a token that the store is away, or is that owner. */
  confirm(token: number): void {
    this.#confirmedTokens.add(token);
  }

  /** Lists the data centres of whose jobs tasks may run without a record after an owner. */
  list(owner: OwnerRecord): string[] {
    // An owner that handed the shard over had recorded everything.
    if (owner.isReleased) return owner.unrecorded;
    const startsOnlyOwnDataCentre =
      this.#registrationOffset < owner.readTo && !this.#confirmedTokens.has(owner.token);
    if (!startsOnlyOwnDataCentre) return [ANY_DATA_CENTRE];
    return [...new Set([...owner.unrecorded, owner.dataCentre])];
  }
}
