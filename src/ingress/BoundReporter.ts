import type { IngressBound } from './IngressSettings.js';

/** Minimum interval in ms between two reports of one bound. */
const REPORT_INTERVAL_MS = 1_000;

/**
 * Decides which of the events at a bound are logged: for each bound at most one a second, with the
 * number of events since the last report.
 *
 * @example
 * ```ts
 * const reporter = new BoundReporter();
 * reporter.count('progress', 0); // 1: to be logged
 * reporter.count('progress', 10); // undefined: counted for the next report
 * ```
 */
export class BoundReporter {
  readonly #reports = new Map<IngressBound, { reportedMs: number; count: number }>();

  /** Counts an event and returns the number to report; undefined if no report is due. */
  count(bound: IngressBound, nowMs: number): number | undefined {
    const report = this.#reports.get(bound) ?? { reportedMs: -Infinity, count: 0 };
    this.#reports.set(bound, report);
    report.count += 1;
    if (nowMs - report.reportedMs < REPORT_INTERVAL_MS) return undefined;
    const { count } = report;
    report.reportedMs = nowMs;
    report.count = 0;
    return count;
  }
}
