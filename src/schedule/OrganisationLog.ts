import type { CapHold } from './CapGuard.js';
import type { ScheduledJob } from './ScheduledJob.js';
import type { ShardOutput } from './ShardCommand.js';

/**
 * Time in ms for which a state must be over before its end is logged, so that an organisation at
 * its limit, whose tasks start and end all the time, does not produce a line for each of them.
 */
const END_AFTER_MS = 1_000;

/**
 * Time in ms for which a job must be held before that is logged, so that a burst of jobs that start
 * shortly after does not use up the permitted number of log lines.
 */
const JOB_HELD_AFTER_MS = 500;

interface Phase {
  since: number;
  lastAt: number;
}

/** Logs when organisations are held at their cap or are beyond their rate, and which jobs wait. */
export class OrganisationLog {
  readonly #output: ShardOutput;

  /** Organisations that are held at their cap. */
  readonly #held = new Map<string, Phase>();

  /** Organisations that submit beyond their rate. */
  readonly #beyondRate = new Map<string, Phase>();

  /** Monotonic time in ms at which a job was first held; `Infinity` once that has been logged. */
  readonly #heldSince = new WeakMap<ScheduledJob, number>();

  constructor(output: ShardOutput) {
    this.#output = output;
  }

  /** Records that a job is held at the cap of its organisation. */
  recordHold(job: ScheduledJob, hold: CapHold, now: number): void {
    const { organisation, ...inputs } = hold;
    if (OrganisationLog.#mark(this.#held, organisation, now))
      this.#output.record({ decision: 'organisation-held', subject: organisation, inputs });
    const since = this.#heldSince.get(job);
    if (since === undefined) this.#heldSince.set(job, now);
    if (now - (since ?? now) < JOB_HELD_AFTER_MS) return;
    this.#heldSince.set(job, Infinity);
    this.#output.record({ decision: 'job-held', subject: job.id, inputs: { ...hold } });
  }

  /** Records that an organisation has submitted a job beyond its rate in jobs a second. */
  recordBeyondRate(organisation: string, jobsPerS: number, now: number): void {
    if (!OrganisationLog.#mark(this.#beyondRate, organisation, now)) return;
    this.#output.record({
      decision: 'organisation-beyond-rate',
      subject: organisation,
      inputs: { jobsPerS },
    });
  }

  /** Logs the states that have ended. */
  update(now: number): void {
    this.#logEnded(this.#held, 'organisation-free', now);
    this.#logEnded(this.#beyondRate, 'organisation-within-rate', now);
  }

  /** Extends a phase, or begins one and returns true. */
  static #mark(phases: Map<string, Phase>, organisation: string, now: number): boolean {
    const phase = phases.get(organisation);
    if (phase === undefined) phases.set(organisation, { since: now, lastAt: now });
    else phase.lastAt = now;
    return phase === undefined;
  }

  #logEnded(phases: Map<string, Phase>, decision: string, now: number): void {
    phases.forEach(({ since, lastAt }, organisation) => {
      if (now - lastAt < END_AFTER_MS) return;
      phases.delete(organisation);
      const inputs = { forMs: Math.round(lastAt - since) };
      this.#output.record({ decision, subject: organisation, inputs });
    });
  }
}
