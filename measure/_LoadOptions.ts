/** A stream of requests of one service and urgency. */
export interface Flow {
  service: string;
  urgency: string;
  perSecond: number;
  timeoutMs: number;
}

/** Options of a load generator process. */
export interface LoadOptions {
  gateway: string;
  durationMs: number;
  flows: Flow[];
}

/** Result of one stream; latencies are in milliseconds from the sending of a request. */
export interface LoadResult {
  flow: Flow;
  sent: number;
  good: number;
  /** Good responses before the end of the phase; responses from the queue left then are not part of a rate. */
  goodInPhase: number;
  refused: number;
  failed: number;
  p50: number;
  p99: number;
  max: number;
}
