import type { ActorScope } from '../actor/mod.js';
import type { ShedReason } from '../admission/mod.js';
import type { Outcome } from '../job/mod.js';
import type { JobEntry } from './_JobEntry.js';

/** How a job ended. */
export interface JobEnd {
  outcome: Outcome;
  /** The host of the last run, if there was one. */
  host?: string;
  detail: string;
}

/** Records the events, counts and latencies of the jobs of one service. */
export class JobRecorder {
  readonly #scope: ActorScope;

  readonly #service: string;

  constructor(scope: ActorScope, service: string) {
    this.#scope = scope;
    this.#service = service;
  }

  /** Records that a job got a slot after a wait in milliseconds. */
  recordStart({ exchange }: JobEntry, waitMs: number): void {
    this.#scope.recordLatency(`job.wait.${this.#service}.${exchange.job.urgency}`, waitMs);
  }

  recordSent(entry: JobEntry, host: string): void {
    const isRetry = entry.tried.size > 1;
    if (isRetry) this.#scope.increaseCounter(`job.retried.${this.#service}`);
    const detail = `attempt ${entry.tried.size}`;
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

  /** Records that a host went out of rotation or came back after a run. */
  recordTurn(entry: JobEntry, turn: 'out' | 'back', about: { host: string; detail: string }): void {
    const type = turn === 'out' ? 'host.ejected' : 'host.restored';
    this.#scope.increaseCounter(type);
    this.#scope.recordEvent({ type, service: this.#service, cause: entry.event, ...about });
  }

  #record(entry: JobEntry, type: string, about: { detail: string; host?: string }): void {
    const { job } = entry.exchange;
    const cause = entry.event;
    const event = { type, request: job.id, service: this.#service, cause, ...about };
    Object.assign(entry, { event: this.#scope.recordEvent(event) });
  }
}
