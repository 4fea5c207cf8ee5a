import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.js';
import { Metrics, ProcessMeter } from '../metrics/mod.js';
import { Timeline, type TimelineOptions } from '../timeline/mod.js';
import type { ProcessStatus } from '../fleet/mod.js';
import type { ProcessMetrics, ProcessTimeline } from './ProcessReport.js';

/** Paths of the system's own begin with this on the peer and API ports. */
const OWN_PREFIX = '/-/';

/** Options of an observer. */
export interface ProcessObserverOptions {
  clock: Clock;
  timelineEvents?: number;
  onEvent?: TimelineOptions['onEvent'];
}

/** Reads which state of the fleet a process has in force. */
export type StatusReader = () => Promise<ProcessStatus>;

/**
 * What a daemon records about itself, and its answers to those who ask for it.
 *
 * @example
 * ```ts
 * const observer = new ProcessObserver('session-1', { clock: new SystemClock() });
 * observer.timeline.record({ type: 'process.started' });
 * createServer((request, response) => {
 *   if (!observer.answer(request, response)) response.writeHead(404).end();
 * });
 * ```
 */
export class ProcessObserver {
  readonly timeline: Timeline;

  readonly metrics = new Metrics();

  readonly #meter = new ProcessMeter();

  #readStatus: StatusReader | undefined;

  constructor(process: string, options: ProcessObserverOptions) {
    const { clock, timelineEvents: capacity, onEvent } = options;
    this.timeline = new Timeline(process, { clock, capacity, onEvent });
  }

  /** Session or name of the process. */
  get process(): string {
    return this.timeline.process;
  }

  /** Sets how the status is read. */
  setStatusReader(reader: StatusReader): void {
    this.#readStatus = reader;
  }

  /** Answers a request under `/-/`; false, with the request untouched, for any other path. */
  answer(request: IncomingMessage, response: ServerResponse): boolean {
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    if (!path.startsWith(OWN_PREFIX)) return false;
    this.#read(path).then(
      (body) => {
        response
          .writeHead(body === undefined ? 404 : 200, { 'content-type': 'application/json' })
          .end(JSON.stringify(body ?? { error: `no such path: ${path}` }));
      },
      (error: Error) => {
        response.writeHead(503, { 'content-type': 'application/json' });
        response.end(JSON.stringify({ error: error.message }));
      },
    );
    return true;
  }

  /** Stops measuring. */
  close(): void {
    this.#meter.close();
  }

  async #read(path: string): Promise<unknown> {
    switch (path.slice(OWN_PREFIX.length)) {
      case 'metrics':
        return {
          process: this.process,
          ...this.metrics.export(),
          gauges: this.#meter.read(),
        } satisfies ProcessMetrics;
      case 'timeline':
        return { process: this.process, events: this.timeline.list() } satisfies ProcessTimeline;
      case 'status':
        return this.#readStatus?.();
      default:
        return undefined;
    }
  }
}
