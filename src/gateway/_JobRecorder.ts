import type { ActorScope } from '../actor/mod.js';
import type { ShedReason } from '../admission/mod.js';
import type { Outcome } from '../job/mod.js';
import type { JobEntry } from './_JobEntry.js';

/** How a job ended. */
export interface JobEnd {
  outcome: Outcome;
  /** Host of the last run, if the job was run. */
  host?: string;
  detail: string;
}

/** Records the events, counters and latencies of the jobs of a service. */
export class JobRecorder {
  readonly #scope: ActorScope;

  readonly #service: string;

  constructor(scope: ActorScope, service: string) {
    this.#scope = scope;
    this.#service = service;
  }

  /** Records how long a job waited for a slot, in milliseconds. */
  recordStart({ exchange }: JobEntry, waitMs: number): void {
    this.#scope.recordLatency(`job.wait.${this.#service}.${exchange.job.urgency}`, waitMs);
  }

  recordSent(entry: JobEntry, host: string): void {
    const isRetry = entry.triedHosts.size > 1;
    if (isRetry) this.#scope.increaseCounter(`job.retried.${this.#service}`);
    const detail = `attempt ${entry.triedHosts.size}`;
    this.#record(entry, isRetry ? 'request.retried' : 'request.sent', { host, detail });
  }

  recordShed(entry: JobEntry, reason: ShedReason): void {
    this.#scope.increaseCounter(`job.shed.${this.#service}.${entry.exchange.job.urgency}`);
    this.#record(entry, 'request.shed', { detail: reason });
  }

  recordEnd(entry: JobEntry, { outcome, host, detail }: JobEnd): void {
    const isAnswered = outcome === 'ran';
    this.#scope.increaseCounter(isAnswered ? 'answered' : 'failed');
    this.#scope.increaseCounter(`job.outcome.${this.#service}.${outcome}`);
    const type = isAnswered ? 'request.answered' : 'request.failed';
    this.#record(entry, type, { host, detail: `${outcome}: ${detail}` });
  }

  /** Records that a run led to a host being ejected from rotation or restored. */
  recordRotationChange(
    entry: JobEntry,
    change: 'out' | 'back',
    details: { host: string; detail: string },
  ): void {
    const type = change === 'out' ? 'host.ejected' : 'host.restored';
    this.#scope.increaseCounter(type);
    this.#scope.recordEvent({ type, service: this.#service, cause: entry.event, ...details });
  }

  #record(entry: JobEntry, type: string, details: { detail: string; host?: string }): void {
    const { job } = entry.exchange;
    const cause = entry.event;
    const event = { type, request: job.id, service: this.#service, cause, ...details };
    Object.assign(entry, { event: this.#scope.recordEvent(event) });
  }
}
