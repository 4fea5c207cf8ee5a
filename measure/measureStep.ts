import { performance } from 'node:perf_hooks';

/** Rounds a figure to two digits after the point. */
export function formatFigure(value: number): number {
  return Number(value.toFixed(2));
}

/** Measures a step, its longest stretch without a turn of the event loop, and its result. */
export async function measureStep<T>(run: () => T | Promise<T>) {
  let longestMs = 0;
  let last = performance.now();
  const begin = last;
  let isRunning = true;
  const look = (): void => {
    const now = performance.now();
    longestMs = Math.max(longestMs, now - last);
    last = now;
    if (isRunning) setImmediate(look);
  };
  setImmediate(look);
  const result = await run();
  isRunning = false;
  look();
  return {
    result,
    ms: formatFigure(performance.now() - begin),
    longestMs: formatFigure(longestMs),
  };
}
