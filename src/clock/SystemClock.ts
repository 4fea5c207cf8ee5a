import { performance } from 'node:perf_hooks';
import { Clock } from './Clock.js';

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override readWall(): number {
    return Date.now();
  }

  override readMonotonic(): number {
    return performance.now();
  }
}
