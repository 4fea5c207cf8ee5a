import { ANY_DATA_CENTRE, type WorkLogChange, type OwnerRecord } from '../workLog/mod.js';

/**
 * Tracks the data centres whose jobs may have tasks that earlier owners started without recording
 * them.
 *
 * Without contact with the store, an owner starts tasks of jobs of its own data centre. It starts
 * those of other data centres only after all nodes that it knows have confirmed that the store is
 * unreachable. So a node that the owner knows and that has not confirmed this can be sure that the
 * owner has not started tasks of other data centres. The owner knows a node if it has read the work
 * log past the record of the node's registration.
 *
 * @example
 * ```ts
 * starts.applyChange(change);
 * starts.list(owner); // ['bzh-a']
 * ```
 */
export class UnrecordedStarts {
  readonly #session: string;

  /** Offset of this node's registration in the work log. */
  #registrationOffset = Infinity;

  /** Tokens of owners that may have started tasks of any job, since this node confirmed it. */
  readonly #confirmedTokens = new Set<number>();

  /** `session` identifies this run of the node's process. */
  constructor(session: string) {
    this.#session = session;
  }

  /** Records the offset of this node's registration. */
  applyChange(change: WorkLogChange): void {
    if (change.type !== 'node' || change.node?.session !== this.#session) return;
    this.#registrationOffset = Math.min(this.#registrationOffset, change.offset);
  }

  /**
   * Records that this node has told the owner with the given token that the store is unreachable,
   * or that this node is that owner.
   */
  confirm(token: number): void {
    this.#confirmedTokens.add(token);
  }

  /** Lists the data centres whose jobs may have unrecorded tasks when an owner is replaced. */
  list(owner: OwnerRecord): string[] {
    // An owner that released the shard had recorded everything.
    if (owner.isReleased) return owner.unrecorded;
    const startsOnlyOwnDataCentre =
      this.#registrationOffset < owner.readTo && !this.#confirmedTokens.has(owner.token);
    if (!startsOnlyOwnDataCentre) return [ANY_DATA_CENTRE];
    return [...new Set([...owner.unrecorded, owner.dataCentre])];
  }
}
