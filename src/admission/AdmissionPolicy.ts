import type { Job, Urgency } from '../job/mod.js';

/** What admission knows of a job. */
export type Ticket = Pick<Job, 'id' | 'team' | 'urgency' | 'arrivedAt' | 'deadline'>;

/** Why a job was turned away before it ran. */
export type ShedReason = 'queue-full' | 'deadline' | 'urgent-start' | 'displaced';

/** A queued job that was turned away. */
export interface Shed {
  id: string;
  reason: ShedReason;
}

/** Answer to a submission. `displaced` lists queued jobs that made room for it. */
export type Submission =
  { admitted: true; displaced: Shed[] } | { admitted: false; reason: ShedReason; waitMs: number };

/** How a job that had started ended; `ran` counts as a measurement of its run time. */
export interface Finish {
  ran: boolean;
  runMs: number;
}

/**
 * Decides which jobs of a service wait, start or are shed. It is deterministic: time comes in as an
 * argument in monotonic milliseconds, and what to do with sockets is up to its user.
 */
export abstract class AdmissionPolicy {
  /** Number of jobs that wait. */
  abstract get queued(): number;

  /** Number of jobs that were taken and have not finished. */
  abstract get running(): number;

  /** Most jobs that may run at the moment. */
  abstract get limit(): number;

  /** Sets the number of slots on usable hosts; it may fall below the number of running jobs. */
  abstract setSlots(slots: number): void;

  /** Sets the weights of the configured teams. */
  abstract setQuotas(quotas: ReadonlyMap<string, number>): void;

  /** Queues a job or refuses it. */
  abstract submit(ticket: Ticket, now: number): Submission;

  /** Takes the next job to start, if the limit allows one. */
  abstract take(now: number): string | undefined;

  /** Takes out every queued job that can't be started in time any more. */
  abstract expire(now: number): Shed[];

  /** Removes a queued job that its caller cancelled; false if it is not queued. */
  abstract remove(id: string): boolean;

  /** Ends a job that had been taken. */
  abstract finish(id: string, finish: Finish): void;

  /** Estimates the run time of a job in milliseconds; 0 without a measurement. */
  abstract estimateRun(urgency: Urgency): number;
}
