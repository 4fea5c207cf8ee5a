import type { Place } from './Finding.js';

/**
 * Formats a place as `file:line:column`, omitting unknown parts.
 *
 * @example
 * ```ts
 * formatPlace({ file: 'rules.jsonc', line: 3, column: 7, path: '' }); // 'rules.jsonc:3:7'
 * ```
 */
export function formatPlace({ file, line, column }: Place): string {
  return [file, line, column].filter((part) => part !== undefined).join(':');
}
