import type { Run } from './Run.js';

/**
 * Checks whether the system may take a run away without more tasks of its step being away at the
 * same time than the job allows. Tasks that are not at full work count as away, whatever the cause.
 *
 * @example
 * ```ts
 * if (canInterrupt(run)) stop(run);
 * ```
 */
export function canInterrupt(run: Run): boolean {
  const { mayMiss, isLasting } = run.unit.spec;
  if (!isLasting || mayMiss === undefined) return true;
  const away = run.unit.step.units.filter(
    (unit) => unit !== run.unit && ![...unit.runs].some((one) => one.isAtFullSpeed),
  ).length;
  return away < mayMiss;
}
