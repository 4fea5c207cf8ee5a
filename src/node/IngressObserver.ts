import {
  BoundReporter,
  type IngressBound,
  type ProcessBudget,
  type WaitTimeout,
} from '../ingress/mod.js';
import { BoundObserver } from '../net/mod.js';
import type { NodeContext } from './NodeContext.js';

/** Logs and measures what one server of the node does at its bounds. */
export class IngressObserver extends BoundObserver {
  readonly #server: string;

  readonly #context: Pick<NodeContext, 'log' | 'metrics' | 'clock'>;

  readonly #reporter = new BoundReporter();

  /** `server` is the name in logs and metrics, for example `callers`. */
  constructor(server: string, context: Pick<NodeContext, 'log' | 'metrics' | 'clock'>) {
    super();
    this.#server = server;
    this.#context = context;
  }

  override report(bound: IngressBound, action: 'close' | 'refuse'): void {
    const { log, metrics, clock } = this.#context;
    metrics.increase(`ingress.${this.#server}.${bound}`);
    const count = this.#reporter.count(bound, clock.readMonotonic());
    if (count !== undefined) log.record('ingress-bound', this.#server, { bound, action, count });
  }

  override countTimeout(timeout: WaitTimeout): void {
    this.#context.metrics.increase(`ingress.${this.#server}.${timeout}-timeout`);
  }

  override show(budget: ProcessBudget): void {
    const largest = { 'requests-ahead': 0, 'ahead-bytes': 0, 'unread-bytes': 0, 'progress-ms': 0 };
    budget.connections.forEach((connection) => {
      const { requestsAhead, aheadBytes, unreadBytes, stalledMs } = connection;
      largest['requests-ahead'] = Math.max(largest['requests-ahead'], requestsAhead);
      largest['ahead-bytes'] = Math.max(largest['ahead-bytes'], aheadBytes);
      largest['unread-bytes'] = Math.max(largest['unread-bytes'], unreadBytes);
      largest['progress-ms'] = Math.max(largest['progress-ms'], Math.round(stalledMs));
    });
    const values = {
      connections: budget.connections.size,
      'open-requests': budget.openRequests,
      'held-bytes': budget.heldBytes,
      ...largest,
    };
    Object.entries(values).forEach(([name, value]) => {
      this.#context.metrics.setGauge({
        name: `ingress.${this.#server}.${name}`,
        value,
        labels: {},
      });
    });
  }
}
