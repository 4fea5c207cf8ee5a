import type { Capacity } from '../port/mod.js';
import { computeTaskUse } from './_ResourceAmount.js';
import type { CapGuard, CapHold } from './CapGuard.js';
import type { WorkUnit } from './WorkUnit.js';

interface HeldRequest {
  needed: Capacity;
  hold: CapHold;
}

function isAtLeast(needed: Readonly<Capacity>, other: Readonly<Capacity>): boolean {
  return (
    needed.cpuMilli >= other.cpuMilli &&
    needed.memoryMb >= other.memoryMb &&
    needed.accelerators >= other.accelerators
  );
}

/**
 * One round of starts under the caps. The use of an organisation only increases during a round, so
 * once a single task was held, single tasks of the organisation that need at least as much are held
 * without another computation. With many waiting jobs this avoids nearly all of them.
 */
export class CapRound {
  readonly #guard: CapGuard;

  readonly #held = new Map<string, HeldRequest[]>();

  constructor(guard: CapGuard) {
    this.#guard = guard;
  }

  /** Finds the limit that prevents the start of a unit; undefined if it may start. */
  findHold(unit: WorkUnit): CapHold | undefined {
    const { organisation } = unit.step.occurrence.job.tracked;
    if (organisation === undefined || this.#guard.getCap(organisation) === undefined)
      return undefined;
    // The limit of a gang also depends on the size of its tasks.
    const isSingle = unit.indexes.length === 1;
    const requests = this.#held.get(organisation);
    if (isSingle && requests !== undefined) {
      const known = requests.find(({ needed }) => isAtLeast(unit.spec, needed));
      if (known !== undefined) return known.hold;
    }
    const hold = this.#guard.findHold(unit);
    if (hold === undefined || !isSingle) return hold;
    const request = { needed: computeTaskUse(unit.spec), hold };
    if (requests === undefined) this.#held.set(organisation, [request]);
    else requests.push(request);
    return hold;
  }
}
