import type { JobExchange } from '../gateway/JobExchange.js';
import type { RunResult } from './HostLink.js';

/** Sends a job to another gateway, which runs it and answers in its place. */
export abstract class JobForwarder {
  /**
   * Forwards a job and passes the answer on to the caller.
   *
   * The result's `host` is the peer's address. `sent` is false only if no byte of the request can
   * have reached the peer; a job whose answer was lost is "unknown".
   */
  abstract forward(exchange: JobExchange, peerAddress: string): Promise<RunResult>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
