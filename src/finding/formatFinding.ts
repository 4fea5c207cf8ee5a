import type { Finding } from './Finding.js';
import { formatPlace } from './formatPlace.js';

/**
 * Formats a finding as `file:line:column: severity: path: message`.
 *
 * @example
 * ```ts
 * formatFinding({ severity: 'error', message: 'expected a number', place: { path: 'need' } });
 * // 'error: need: expected a number'
 * ```
 */
export function formatFinding(finding: Finding): string {
  const { place, severity, message } = finding;
  const parts = [formatPlace(place), severity, place.path, message];
  return parts.filter((part) => part !== '').join(': ');
}
