/** One stream of requests. */
export interface Flow {
  service: string;
  urgency: string;
  perSecond: number;
  timeoutMs: number;
}

/** What a load process sends. */
export interface LoadOptions {
  gateway: string;
  durationMs: number;
  flows: Flow[];
}

/** What came back on one stream; times in milliseconds from the moment that a request was due. */
export interface LoadResult {
  flow: Flow;
  sent: number;
  good: number;
  /** Good answers before the end of the phase; the queue that is left then counts for no rate. */
  goodInPhase: number;
  refused: number;
  failed: number;
  p50: number;
  p99: number;
  max: number;
}
