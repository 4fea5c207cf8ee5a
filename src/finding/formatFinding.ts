import type { Finding } from './Finding.js';

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
  const { file, line, column, path } = finding.place;
  const position = [file, line, column].filter((part) => part !== undefined).join(':');
  const parts = [position, finding.severity, path, finding.message];
  return parts.filter((part) => part !== '').join(': ');
}
