import type { Job, Urgency } from '../job/mod.js';

/** The properties of a job that admission control uses. */
export type AdmissionRequest = Pick<Job, 'id' | 'team' | 'urgency' | 'arrivedAt' | 'deadline'>;

/** Why a job was shed before it ran. */
export type ShedReason = 'queue-full' | 'deadline' | 'urgent-start' | 'displaced';

/** A queued job that was shed. */
export interface ShedJob {
  id: string;
  reason: ShedReason;
}

/**
 * Result of submitting a job. `displaced` lists queued jobs that were shed to make room for it;
 * `waitMs` is the estimated wait of a refused job.
 */
export type SubmitResult =
  | { admitted: true; displaced: ShedJob[] }
  | { admitted: false; reason: ShedReason; waitMs: number };

/** How a started job ended. `runMs` is used as a measurement only if the job ran. */
export interface JobCompletion {
  ran: boolean;
  runMs: number;
}

/**
 * Decides which jobs of a service are queued, started or shed. A policy is deterministic: it
 * receives monotonic time in milliseconds as an argument and performs no I/O, which is left to the
 * caller.
 */
export abstract class AdmissionPolicy {
  /** Number of queued jobs. */
  abstract get queued(): number;

  /** Number of jobs that were started and have not finished. */
  abstract get running(): number;

  /** Current maximum number of running jobs. */
  abstract get limit(): number;

  /**
   * Sets the number of slots on usable hosts, which may be lower than the number of running jobs.
   */
  abstract setSlots(slots: number): void;

  /** Sets the weights of the configured teams. */
  abstract setQuotas(quotas: ReadonlyMap<string, number>): void;

  /** Queues a job or refuses it. */
  abstract submit(request: AdmissionRequest, now: number): SubmitResult;

  /**
   * Removes the next job to start from the queue and returns its id, if the limit allows a start.
   */
  abstract take(now: number): string | undefined;

  /** Removes and returns all queued jobs that can no longer start in time. */
  abstract expire(now: number): ShedJob[];

  /** Removes a queued job that its caller cancelled; returns false if the job is not queued. */
  abstract remove(id: string): boolean;

  /** Marks a started job as finished. */
  abstract finish(id: string, completion: JobCompletion): void;

  /** Estimates the run time of a job in milliseconds; 0 if there are no measurements. */
  abstract estimateRunMs(urgency: Urgency): number;
}
