const DEFAULT_DEADLINE_MS = 15_000;
const INTERVAL_MS = 20;

/**
 * Polls a condition until it returns a value other than undefined and false, and returns this value.
 *
 * @throws An error that contains the description if the deadline passes first.
 * @example
 * ```ts
 * const hosts = await waitFor('a host', () => list.find((host) => host.live));
 * ```
 */
export async function waitFor<T>(
  description: string,
  condition: () => T | undefined | false | Promise<T | undefined | false>,
  deadlineMs = DEFAULT_DEADLINE_MS,
): Promise<T> {
  const end = performance.now() + deadlineMs;
  for (;;) {
    const value = await condition();
    if (value !== undefined && value !== false) return value;
    if (performance.now() > end) throw new Error(`timed out waiting for ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, INTERVAL_MS);
    });
  }
}
