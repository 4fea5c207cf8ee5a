import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.js';
import { Metrics, ProcessMeter } from '../metrics/mod.js';
import { Timeline, type TimelineOptions } from '../timeline/mod.js';
import type { ProcessStatus } from '../fleet/mod.js';
import type { ProcessMetrics, ProcessTimeline } from './ProcessReport.js';

/** Path prefix of the operational endpoints on the peer and API ports. */
const ENDPOINT_PREFIX = '/-/';

/** Options of a `ProcessObserver`. */
export interface ProcessObserverOptions {
  clock: Clock;
  timelineEvents?: number;
  onEvent?: TimelineOptions['onEvent'];
}

/** Reads the status of the process and of its fleet state. */
export type StatusReader = () => Promise<ProcessStatus>;

/**
 * Reads the content of an endpoint under `/-/` as a JSON-serializable value. Throws a `RangeError`
 * if the query is invalid.
 */
export type EndpointReader = (query: URLSearchParams) => Promise<unknown>;

/**
 * Records the timeline and metrics of a daemon and serves them under `/-/`.
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

  readonly #endpoints = new Map<string, EndpointReader>([
    ['metrics', () => this.#readMetrics()],
    ['timeline', () => this.#readTimeline()],
  ]);

  constructor(process: string, options: ProcessObserverOptions) {
    const { clock, timelineEvents: capacity, onEvent } = options;
    this.timeline = new Timeline(process, { clock, capacity, onEvent });
  }

  /** Session id or name of the process. */
  get process(): string {
    return this.timeline.process;
  }

  /** Sets the reader of the endpoint `/-/status`. */
  setStatusReader(reader: StatusReader): void {
    this.setEndpointReader('status', reader);
  }

  /** Sets the reader of the endpoint `/-/NAME`. */
  setEndpointReader(name: string, reader: EndpointReader): void {
    this.#endpoints.set(name, reader);
  }

  /**
   * Answers a request under `/-/`. Returns false for any other path and leaves the request
   * untouched.
   */
  answer(request: IncomingMessage, response: ServerResponse): boolean {
    if (!request.url?.startsWith(ENDPOINT_PREFIX)) return false;
    const reply = (status: number, body: unknown): void => {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    };
    if (request.method !== 'GET' && request.method !== 'HEAD') {
      reply(405, { error: 'pages are read-only' });
      return true;
    }
    this.#readEndpoint(request.url).then(
      (body) =>
        body === undefined
          ? reply(404, { error: `no such path: ${request.url}` })
          : reply(200, body),
      (error: Error) => reply(error instanceof RangeError ? 400 : 503, { error: error.message }),
    );
    return true;
  }

  /** Stops the measurement of process gauges. */
  close(): void {
    this.#meter.close();
  }

  async #readEndpoint(target: string): Promise<unknown> {
    const [path = '', query] = target.split('?', 2);
    const reader = this.#endpoints.get(path.slice(ENDPOINT_PREFIX.length));
    return reader?.(new URLSearchParams(query));
  }

  async #readMetrics(): Promise<ProcessMetrics> {
    return { process: this.process, ...this.metrics.export(), gauges: this.#meter.read() };
  }

  async #readTimeline(): Promise<ProcessTimeline> {
    return { process: this.process, events: this.timeline.list() };
  }
}
