import type { ResourceCap } from '../port/mod.js';
import type { JobSpec } from '../task/mod.js';
import { computeTaskUse, RESOURCES, type Resource } from './_ResourceAmount.js';

/** A step that can never start under a cap. */
export interface ImpossibleStep {
  /** Index of the step. */
  step: number;
  resource: Resource;
  /** Amount that the step needs at once, and the largest one that may start. */
  needed: number;
  limit: number;
}

/**
 * Finds a step that the cap of an organisation never lets start: a gang that needs more at once than
 * the cap plus the overshoot plus one of its tasks. A single task may always start when nothing else
 * of its organisation is running.
 *
 * @param overshoot Fraction by which a start may exceed the cap.
 * @example
 * ```ts
 * const spec = JobSpec.parse({ payload: '', steps: [{ count: 8, gang: true, cpuMilli: 1_000 }] });
 * const cap = { cpuMilli: 4_000, memoryMb: 0, accelerators: 0 };
 * findImpossibleStep({ spec, cap, overshoot: 0.1 }); // { step: 0, resource: 'cpuMilli', ... }
 * ```
 */
export function findImpossibleStep({
  spec,
  cap,
  overshoot,
}: {
  spec: JobSpec;
  cap: ResourceCap | undefined;
  overshoot: number;
}): ImpossibleStep | undefined {
  if (cap === undefined) return undefined;
  for (const [step, stepSpec] of spec.steps.entries()) {
    if (!stepSpec.gang) continue;
    const task = computeTaskUse(stepSpec);
    for (const resource of RESOURCES) {
      const needed = stepSpec.count * task[resource];
      const limit = cap[resource] * (1 + overshoot) + task[resource];
      if (cap[resource] > 0 && needed > limit) return { step, resource, needed, limit };
    }
  }
  return undefined;
}
