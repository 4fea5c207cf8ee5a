const DEFAULT_DEADLINE_MS = 15_000;
const INTERVAL_MS = 20;

/**
 * Waits until a condition gives a value other than undefined and false, or until a deadline.
 *
 * @throws An error that names what was waited for.
 * @example
 * ```ts
 * const hosts = await waitFor('a host', () => list.find((host) => host.live));
 * ```
 */
export async function waitFor<T>(
  what: string,
  condition: () => T | undefined | false | Promise<T | undefined | false>,
  deadlineMs = DEFAULT_DEADLINE_MS,
): Promise<T> {
  const end = performance.now() + deadlineMs;
  for (;;) {
    const value = await condition();
    if (value !== undefined && value !== false) return value;
    if (performance.now() > end) throw new Error(`gave up waiting for ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, INTERVAL_MS);
    });
  }
}
