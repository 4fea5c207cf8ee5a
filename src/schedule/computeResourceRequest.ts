import type { StepSpec } from '../task/mod.js';
import type { ResourceRequest } from './ManagedHost.js';

/**
 * Computes the resources that are reserved for one task of a step. Best-effort tasks reserve no
 * CPU.
 *
 * @example
 * ```ts
 * const spec = StepSpec.parse({ count: 1, cpuMilli: 500, usesIdleCpu: true });
 * computeResourceRequest(spec).cpuMilli; // 0
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
