import type { MaintenanceSchedule } from '../pool/mod.js';

const HOUR_MS = 3_600_000;

/**
 * Returns whether a maintenance window is open at the given time. Without windows, maintenance is
 * allowed at any time.
 *
 * A window whose end is not after its start spans midnight. Hours are in UTC.
 *
 * @param now Milliseconds since the Unix epoch.
 * @example
 * ```ts
 * isWindowOpen({ periodDays: 49, windows: [{ from: 22, to: 4 }] }, Date.UTC(2026, 0, 1, 23)); // true
 * ```
 */
export function isWindowOpen({ windows }: MaintenanceSchedule, now: number): boolean {
  if (windows.length === 0) return true;
  const hour = Math.floor(now / HOUR_MS) % 24;
  return windows.some(({ from, to }) =>
    from < to ? hour >= from && hour < to : hour >= from || hour < to,
  );
}
