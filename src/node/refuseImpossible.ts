import type { OrganisationConfig } from '../port/mod.js';
import { findImpossibleStep } from '../schedule/mod.js';
import type { JobSpec } from '../task/mod.js';
import type { CallResponse } from './CallResponse.js';

/** Options of `refuseImpossible`. */
export interface RefuseImpossibleOptions {
  /** Organisation of the caller. */
  organisation: OrganisationConfig;
  /** Fraction by which a start may exceed the cap. */
  overshoot: number;
}

/**
 * Refuses a job with a gang that the cap of its organisation never lets start. Returns undefined if
 * every step can start.
 *
 * @example
 * ```ts
 * refuseImpossible(spec, { organisation, overshoot: 0.1 })?.type; // 'bad-request'
 * ```
 */
export function refuseImpossible(
  spec: JobSpec,
  { organisation, overshoot }: RefuseImpossibleOptions,
): CallResponse | undefined {
  const found = findImpossibleStep({ spec, cap: organisation.cap, overshoot });
  if (found === undefined) return undefined;
  const { step, resource, needed, limit } = found;
  const message =
    `the gang of step ${step} needs ${needed} of ${resource} at once, but with the cap of ` +
    `organisation "${organisation.name}" (${organisation.cap[resource]}) at most ` +
    `${Math.floor(limit)} can start`;
  const place = { path: `steps.${step}` };
  return { type: 'bad-request', findings: [{ severity: 'error', message, place }] };
}
