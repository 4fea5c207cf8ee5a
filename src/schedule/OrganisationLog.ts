import type { CapHold } from './CapGuard.js';
import type { ScheduledJob } from './ScheduledJob.js';
import type { ShardOutput } from './ShardCommand.js';

/**
 * Time in ms for which a state must be over before its end is logged, so that an organisation at
 * its limit, whose tasks start and end all the time, does not produce a line for each of them.
 */
const END_AFTER_MS = 1_000;

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

  /** Jobs whose hold has been logged. */
  readonly #heldJobs = new WeakSet<ScheduledJob>();

  constructor(output: ShardOutput) {
    this.#output = output;
  }

  /** Records that a job is held at the cap of its organisation. */
  recordHold(job: ScheduledJob, hold: CapHold, now: number): void {
    const { organisation } = hold;
    const hasBegun = OrganisationLog.#mark(this.#held, organisation, now);
    if (!hasBegun && this.#heldJobs.has(job)) return;
    const { organisation: subject, ...inputs } = hold;
    if (hasBegun) this.#output.record({ decision: 'organisation-held', subject, inputs });
    if (this.#heldJobs.has(job)) return;
    this.#heldJobs.add(job);
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
