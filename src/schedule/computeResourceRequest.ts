import type { StepSpec } from '../task/mod.js';
import type { ResourceRequest } from './ManagedHost.js';

/**
 * Computes the room that one task of a step takes. Processor time that others leave idle is not
 * reserved.
 *
 * @example
 * ```ts
 * computeRoom(StepSpec.parse({ count: 1, cpuMilli: 500, usesIdleCpu: true })).cpuMilli; // 0
 * ```
 */
export function computeResourceRequest({
  cpuMilli,
  memoryMb,
  accelerators,
  usesIdleCpu,
}: StepSpec): ResourceRequest {
  return { cpuMilli: usesIdleCpu ? 0 : cpuMilli, memoryMb, accelerators };
}
