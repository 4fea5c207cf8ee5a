import type { Host } from '../host/mod.js';

/** Candidate hosts in one rack with the same number of accelerators. */
export interface CandidateGroup {
  rackKey: string;
  dataCentre: string;
  accelerators: number;
  hosts: Host[];
  /** Sort key at the time the group was added to the heap. */
  cost: number;
}

function isBefore(a: CandidateGroup, b: CandidateGroup): boolean {
  return a.cost < b.cost || (a.cost === b.cost && a.rackKey < b.rackKey);
}

/** A binary min-heap of groups, ordered by cost and then by rack. */
export class CandidateGroupHeap {
  readonly #groups: CandidateGroup[] = [];

  /** The group with the lowest cost. */
  get first(): CandidateGroup | undefined {
    return this.#groups[0];
  }

  /** Adds a group at the position given by its cost. */
  add(group: CandidateGroup): void {
    let at = this.#groups.length;
    this.#groups.push(group);
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      const above = this.#groups[parent];
      if (above === undefined || !isBefore(group, above)) break;
      this.#groups[at] = above;
      at = parent;
    }
    this.#groups[at] = group;
  }

  /** Removes and returns the group with the lowest cost. */
  take(): CandidateGroup | undefined {
    const first = this.#groups[0];
    const last = this.#groups.pop();
    if (last === undefined || this.#groups.length === 0) return first;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      const left = this.#groups[child];
      if (left === undefined) break;
      const right = this.#groups[child + 1];
      if (right !== undefined && isBefore(right, left)) child += 1;
      const smaller = this.#groups[child];
      if (smaller === undefined || !isBefore(smaller, last)) break;
      this.#groups[at] = smaller;
      at = child;
    }
    this.#groups[at] = last;
    return first;
  }
}
