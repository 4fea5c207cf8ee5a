import type winston from 'winston';
import type { Clock } from '../clock/mod.js';
import type { Metrics } from '../metrics/mod.js';

/** Maximum number of lines per second; further lines are counted and omitted. */
const MAX_LINES_PER_SECOND = 400;
/** Maximum number of lines in a burst after an idle time. */
const MAX_BURST_LINES = 800;

/**
 * Logs each decision as one JSON line with its subject and inputs.
 *
 * A token bucket limits the volume, so that a flood of requests cannot make the process spend its
 * time on logging. The next line contains the number of omitted lines.
 *
 * @example
 * ```ts
 * log.record('job-accepted', '5c0e7a21d94b36f8', { queue: 'renders', offset: 17 });
 * ```
 */
export class DecisionLog {
  readonly #logger: winston.Logger;

  readonly #clock: Clock;

  readonly #metrics: Metrics;

  #tokens = MAX_BURST_LINES;

  #refilledAt: number;

  #omitted = 0;

  constructor(logger: winston.Logger, clock: Clock, metrics: Metrics) {
    this.#logger = logger;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#refilledAt = clock.readMonotonic();
  }

  /** Records a decision. */
  record(decision: string, subject: string, inputs: Record<string, unknown> = {}): void {
    this.#metrics.increase(`decision.${decision}`);
    this.#refill();
    if (this.#tokens < 1) {
      this.#omitted += 1;
      this.#metrics.increase('log.omitted');
      return;
    }
    this.#tokens -= 1;
    const omittedCount = this.#omitted === 0 ? {} : { omitted: this.#omitted };
    this.#omitted = 0;
    this.#logger.info(decision, { id: subject, ...inputs, ...omittedCount });
  }

  /** Logs an unexpected error; such lines are never omitted. */
  reportFault(where: string, error: Error): void {
    this.#metrics.increase('fault');
    this.#logger.error('fault', { where, error: error.message, stack: error.stack });
  }

  #refill(): void {
    const now = this.#clock.readMonotonic();
    const added = ((now - this.#refilledAt) / 1_000) * MAX_LINES_PER_SECOND;
    this.#tokens = Math.min(MAX_BURST_LINES, this.#tokens + added);
    this.#refilledAt = now;
  }
}
