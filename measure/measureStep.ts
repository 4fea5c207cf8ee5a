import { performance } from 'node:perf_hooks';

/** Rounds a figure to two decimal places. */
export function formatFigure(value: number): number {
  return Number(value.toFixed(2));
}

/** Runs a step and measures its duration and the longest time that it blocked the event loop. */
export async function measureStep<T>(run: () => T | Promise<T>) {
  let longestMs = 0;
  let last = performance.now();
  const begin = last;
  let isRunning = true;
  const recordTurn = (): void => {
    const now = performance.now();
    longestMs = Math.max(longestMs, now - last);
    last = now;
    if (isRunning) setImmediate(recordTurn);
  };
  setImmediate(recordTurn);
  const result = await run();
  isRunning = false;
  recordTurn();
  return {
    result,
    ms: formatFigure(performance.now() - begin),
    longestMs: formatFigure(longestMs),
  };
}
