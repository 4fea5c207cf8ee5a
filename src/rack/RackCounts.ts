/**
 * Counts hosts by rack and tracks the largest count. Each change takes constant time.
 *
 * @example
 * ```ts
 * const counts = new RackCounts();
 * counts.increase('rennes-1/r4');
 * counts.largest; // 1
 * ```
 */
export class RackCounts {
  readonly #counts = new Map<string, number>();

  /** Number of racks, indexed by host count. */
  readonly #racksByCount: number[] = [];

  #largest = 0;

  /** Largest number of hosts in a single rack. */
  get largest(): number {
    return this.#largest;
  }

  /** Returns the number of hosts in a rack. */
  get(rack: string): number {
    return this.#counts.get(rack) ?? 0;
  }

  /** Adds one host to a rack. */
  increase(rack: string): void {
    this.#change(rack, 1);
  }

  /** Removes one host from a rack. */
  decrease(rack: string): void {
    this.#change(rack, -1);
  }

  /** Copies the counts, so that a planner can try changes on the copy. */
  copy(): RackCounts {
    const copy = new RackCounts();
    this.#counts.forEach((count, rack) => copy.#counts.set(rack, count));
    this.#racksByCount.forEach((racks, count) => {
      copy.#racksByCount[count] = racks;
    });
    copy.#largest = this.#largest;
    return copy;
  }

  #change(rack: string, by: 1 | -1): void {
    const before = this.get(rack);
    const after = before + by;
    if (after === 0) this.#counts.delete(rack);
    else this.#counts.set(rack, after);
    this.#racksByCount[before] = (this.#racksByCount[before] ?? 0) - 1;
    this.#racksByCount[after] = (this.#racksByCount[after] ?? 0) + 1;
    // Adding or removing one host changes the largest count by at most one.
    if (after > this.#largest) this.#largest = after;
    else if (before === this.#largest && this.#racksByCount[before] === 0) this.#largest = after;
  }
}
