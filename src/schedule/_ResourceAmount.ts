import type { Capacity } from '../port/mod.js';
import type { StepSpec } from '../task/mod.js';

/** The resources that a cap limits. */
export const RESOURCES = ['cpuMilli', 'memoryMb', 'accelerators'] as const;
export type Resource = (typeof RESOURCES)[number];

export const NO_RESOURCES: Readonly<Capacity> = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };

/** Adds `factor` times the second amount to the first one. */
export function addResources(
  amount: Readonly<Capacity>,
  added: Readonly<Capacity>,
  factor = 1,
): Capacity {
  return {
    cpuMilli: amount.cpuMilli + factor * added.cpuMilli,
    memoryMb: amount.memoryMb + factor * added.memoryMb,
    accelerators: amount.accelerators + factor * added.accelerators,
  };
}

/**
 * Computes the resources that one task of a step counts against the cap of its organisation.
 * Best-effort tasks reserve no CPU on their host, but may use all that they request.
 */
export function computeTaskUse({ cpuMilli, memoryMb, accelerators }: StepSpec): Capacity {
  return { cpuMilli, memoryMb, accelerators };
}
