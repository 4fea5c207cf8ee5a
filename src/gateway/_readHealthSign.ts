import type { HealthSignal, RunResult } from '../link/mod.js';

const MIN_SERVER_ERROR_STATUS = 500;
/** Server error statuses that are caused by the request and not by the state of the host. */
const CALLER_ERROR_STATUSES = new Set([501, 505]);

/**
 * Derives the health sign of a host from the result of a run. Errors caused by the caller are
 * neutral.
 *
 * @param slowMs A run that timed out counts against the host only if it took at least this long, in
 * milliseconds, since a caller may set a deadline that no host can meet.
 */
export function readHealthSign(result: RunResult, slowMs: number): HealthSignal {
  if (result.leaving) return 'leaving';
  switch (result.end) {
    case 'answered':
    case 'withheld': {
      const status = result.status ?? 0;
      return status >= MIN_SERVER_ERROR_STATUS && !CALLER_ERROR_STATUSES.has(status)
        ? 'bad'
        : 'good';
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
