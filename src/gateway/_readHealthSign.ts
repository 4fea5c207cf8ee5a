import type { HealthSignal, RunResult } from '../link/mod.js';

const FIRST_SERVER_ERROR = 500;
/** Statuses that answer what the caller asked for and not how the host fares. */
const CALLER_FAULTS = new Set([501, 505]);

/**
 * Reads from the end of a run what it says of the host. Faults of the caller say nothing.
 *
 * @param slowMs A run that was cut off at its deadline counts against the host from this time on:
 * a caller may set a deadline that no host can meet.
 */
export function readHealthSign(result: RunResult, slowMs: number): HealthSignal {
  if (result.leaving) return 'leaving';
  switch (result.end) {
    case 'answered':
    case 'withheld': {
      const status = result.status ?? 0;
      return status >= FIRST_SERVER_ERROR && !CALLER_FAULTS.has(status) ? 'bad' : 'good';
    }
    case 'refused':
      return 'refused';
    case 'failed':
      return 'bad';
    case 'timeout':
      return result.runMs >= slowMs ? 'bad' : 'neutral';
    default:
      return 'neutral';
  }
}
