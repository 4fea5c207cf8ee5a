import type { Run } from './Run.js';

/**
 * Checks whether an interruption of a run stays within the disruption budget of its step. Tasks
 * that do not work at full speed count as unavailable, whatever the cause.
 *
 * @example
 * ```ts
 * if (canInterrupt(run)) stop(run);
 * ```
 */
export function canInterrupt(run: Run): boolean {
  const { mayMiss, isLasting } = run.unit.spec;
  if (!isLasting || mayMiss === undefined) return true;
  const { units } = run.unit.step;
  const away = [...units.known].filter(
    (unit) => unit !== run.unit && ![...unit.runs].some((one) => one.isAtFullSpeed),
  ).length;
  return away + units.newCount < mayMiss;
}
