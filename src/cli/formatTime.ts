/**
 * Formats a time as ISO 8601 in UTC. Returns `undefined` for an absent time.
 *
 * @param ms Milliseconds since the Unix epoch.
 * @example
 * ```ts
 * formatTime(0); // '1970-01-01T00:00:00.000Z'
 * ```
 */
export function formatTime(ms: number | undefined): string | undefined {
  return ms === undefined ? undefined : new Date(ms).toISOString();
}
