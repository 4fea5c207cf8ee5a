/** Waits until somebody calls the function that this adds to `waiters`, for `limitMs` at most. */
export function waitForWake(waiters, limitMs) {
  return new Promise((resolve) => {
    const entry = { wake: undefined };
    const timer = setTimeout(() => entry.wake(), limitMs);
    entry.wake = () => {
      clearTimeout(timer);
      waiters.delete(entry.wake);
      resolve();
    };
    waiters.add(entry.wake);
  });
}
