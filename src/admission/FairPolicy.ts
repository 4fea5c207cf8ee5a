import { Urgency } from '../job/mod.js';
import {
  AdmissionPolicy,
  type AdmissionRequest,
  type JobCompletion,
  type ShedJob,
  type SubmitResult,
} from './AdmissionPolicy.js';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';
import type { QueueEntry } from './_DeadlineQueue.js';
import { DemandMeter } from './_DemandMeter.js';
import { RunTimeEstimate } from './RunTimeEstimate.js';
import { TeamQueues } from './_TeamQueues.js';

/**
 * An urgent job must start on the host within 2.3 s of its arrival or is refused. This is the limit
 * for the start by the policy, which leaves 50 ms for the transfer to the host.
 */
export const URGENT_START_TIMEOUT_MS = 2_250;
/**
 * Minimum share of the slots for each urgency while it has jobs for them. Each share exceeds the
 * mean load of its urgency (8%, 24% and 8%), so that a flood of one urgency leaves the others
 * enough slots for their mean load. Batch must never get less than one slot in twenty. The
 * remaining slots go to the most urgent jobs.
 */
const GUARANTEED_SHARES: Record<Urgency, number> = { urgent: 0.3, normal: 0.4, batch: 0.18 };
/** Share of the limit that is reserved for urgent jobs while other jobs run long. */
const URGENT_RESERVE_SHARE = 0.1;
/** Bounds memory, because a queued job keeps its body and the connection of its caller. */
const MAX_QUEUED = 2_000;
/** Urgencies from most to least urgent. */
const URGENCY_ORDER = Urgency.options;

/** The state of one urgency. */
interface UrgencyState {
  queues: TeamQueues;
  /** Slot time in milliseconds to which the urgency is entitled while it has queued jobs. */
  credit: number;
  running: number;
  demandMeter: DemandMeter;
  runTime: RunTimeEstimate;
}

/** Options of a fair policy. */
export interface FairPolicyOptions {
  /** Maximum number of queued jobs. */
  maxQueued?: number;
}

function createUrgencyState(): UrgencyState {
  const runTime = new RunTimeEstimate();
  return {
    queues: new TeamQueues(),
    credit: 0,
    running: 0,
    demandMeter: new DemandMeter(),
    runTime,
  };
}

/**
 * An admission policy with guaranteed shares per urgency, fair queuing between teams by quota, and
 * deadlines.
 *
 * A flood of one urgency fills every slot that it may use, and running jobs are not preempted.
 * Slots that the other urgencies needed recently are therefore reserved within their guaranteed
 * shares, so that their jobs don't have to wait until a job of the flood ends.
 *
 * @example
 * ```ts
 * const policy = new FairPolicy();
 * policy.setSlots(8);
 * policy.submit(job, now);
 * policy.take(now); // the id of the job to start
 * ```
 */
export class FairPolicy extends AdmissionPolicy {
  readonly #stateByUrgency: Record<Urgency, UrgencyState> = {
    urgent: createUrgencyState(),
    normal: createUrgencyState(),
    batch: createUrgencyState(),
  };

  readonly #maxQueued: number;

  readonly #concurrencyLimit = new ConcurrencyLimit();

  /** Run times of the jobs of all urgencies. */
  readonly #all = new RunTimeEstimate();

  readonly #queuedById = new Map<string, { urgency: Urgency; team: string }>();

  readonly #runningById = new Map<string, Urgency>();

  /** Jobs that `take` found to be late; the next call of `expire` returns them. */
  readonly #expiredJobs: ShedJob[] = [];

  #sequence = 0;

  constructor(options: FairPolicyOptions = {}) {
    super();
    this.#maxQueued = options.maxQueued ?? MAX_QUEUED;
  }

  override get queued(): number {
    return this.#queuedById.size;
  }

  override get running(): number {
    return this.#runningById.size;
  }

  override get limit(): number {
    return this.#concurrencyLimit.value;
  }

  override setSlots(slots: number): void {
    this.#concurrencyLimit.setSlots(slots);
  }

  override setQuotas(quotas: ReadonlyMap<string, number>): void {
    URGENCY_ORDER.forEach((urgency) => this.#stateByUrgency[urgency].queues.setQuotas(quotas));
  }

  override submit(request: AdmissionRequest, now: number): SubmitResult {
    const { urgency } = request;
    const state = this.#stateByUrgency[urgency];
    const team = state.queues.getQueueName(request.team);
    const waitMs = this.#estimateWaitMs(urgency, team);
    const runMs = this.estimateRunMs(urgency);
    if (now + waitMs + runMs > request.deadline)
      return { admitted: false, reason: 'deadline', waitMs };
    if (urgency === 'urgent' && now + waitMs > request.arrivedAt + URGENT_START_TIMEOUT_MS) {
      return { admitted: false, reason: 'urgent-start', waitMs };
    }
    const displaced: ShedJob[] = [];
    if (this.queued >= this.#maxQueued) {
      const victim = this.#shedVictim(urgency, team);
      if (victim === undefined) return { admitted: false, reason: 'queue-full', waitMs };
      displaced.push({ id: victim.id, reason: 'displaced' });
    }
    this.#add(request, team);
    this.#updateDemand(urgency, now);
    return { admitted: true, displaced };
  }

  override take(now: number): string | undefined {
    while (this.running < this.limit) {
      const urgency = this.#chooseUrgency();
      if (urgency === undefined) return undefined;
      const state = this.#stateByUrgency[urgency];
      const entry = state.queues.take() as QueueEntry;
      this.#queuedById.delete(entry.id);
      if (now > entry.startBy) {
        this.#expiredJobs.push({ id: entry.id, reason: entry.lateReason });
        continue;
      }
      this.#runningById.set(entry.id, urgency);
      state.running += 1;
      this.#updateCredits(urgency);
      this.#updateDemand(urgency, now);
      return entry.id;
    }
    return undefined;
  }

  override expire(now: number): ShedJob[] {
    URGENCY_ORDER.forEach((urgency) => {
      const { queues } = this.#stateByUrgency[urgency];
      let late = queues.listFirstEntries().filter((entry) => now > entry.startBy);
      while (late.length > 0) {
        late.forEach(({ id, lateReason }) => {
          this.remove(id);
          this.#expiredJobs.push({ id, reason: lateReason });
        });
        late = queues.listFirstEntries().filter((entry) => now > entry.startBy);
      }
    });
    return this.#expiredJobs.splice(0);
  }

  override remove(id: string): boolean {
    const place = this.#queuedById.get(id);
    if (place === undefined) return false;
    this.#stateByUrgency[place.urgency].queues.remove(place.team, id);
    this.#queuedById.delete(id);
    return true;
  }

  override finish(id: string, { ran, runMs }: JobCompletion): void {
    const urgency = this.#runningById.get(id);
    if (urgency === undefined) return;
    this.#runningById.delete(id);
    this.#stateByUrgency[urgency].running -= 1;
    if (!ran) return;
    this.#stateByUrgency[urgency].runTime.record(runMs);
    this.#all.record(runMs);
    this.#concurrencyLimit.record(runMs);
  }

  override estimateRunMs(urgency: Urgency): number {
    const { runTime } = this.#stateByUrgency[urgency];
    return runTime.isMeasured ? runTime.mean : this.#all.mean;
  }

  #add(request: AdmissionRequest, team: string): void {
    const { id, urgency, arrivedAt } = request;
    const latestStart = request.deadline - this.estimateRunMs(urgency);
    const latestUrgentStart = urgency === 'urgent' ? arrivedAt + URGENT_START_TIMEOUT_MS : Infinity;
    this.#sequence += 1;
    this.#stateByUrgency[urgency].queues.add({
      id,
      team,
      startBy: Math.min(latestStart, latestUrgentStart),
      lateReason: latestUrgentStart < latestStart ? 'urgent-start' : 'deadline',
      sequence: this.#sequence,
    });
    this.#queuedById.set(id, { urgency, team });
  }

  /**
   * Sheds a job that is less urgent, or of a team further above its share, to make room for
   * another.
   */
  #shedVictim(urgency: Urgency, team: string): QueueEntry | undefined {
    const rank = URGENCY_ORDER.indexOf(urgency);
    const lower = URGENCY_ORDER.slice(rank + 1).reverse();
    const lowest = lower.find((candidate) => this.#stateByUrgency[candidate].queues.size > 0);
    const { queues } = this.#stateByUrgency[lowest ?? urgency];
    const victim = queues.findVictim();
    if (victim === undefined) return undefined;
    if (lowest === undefined && !queues.isFurtherAboveShare(victim.team, team)) return undefined;
    this.remove(victim.id);
    return victim;
  }

  /**
   * Chooses the urgency to start next: one below its guaranteed share, otherwise the most urgent.
   */
  #chooseUrgency(): Urgency | undefined {
    const waiting = URGENCY_ORDER.filter(
      (urgency) => this.#stateByUrgency[urgency].queues.size > 0,
    );
    const belowShare = waiting.find((urgency) => this.#isBelowShare(urgency));
    return belowShare ?? waiting.find((urgency) => this.running < this.#countUsable(urgency));
  }

  /**
   * Whether an urgency is below its guaranteed share, which is measured in slots or, if it is less
   * than one slot, in slot time.
   */
  #isBelowShare(urgency: Urgency): boolean {
    const { running, credit } = this.#stateByUrgency[urgency];
    const guaranteed = this.#countGuaranteed(urgency);
    if (guaranteed > 0) return running < guaranteed;
    return credit >= this.#estimateCost(urgency) && this.running < this.#countUsable(urgency);
  }

  /** Counts the slots that an urgency may use: all except those reserved for the others. */
  #countUsable(urgency: Urgency): number {
    const reserved = URGENCY_ORDER.filter((other) => other !== urgency).map((other) =>
      this.#countReserved(other),
    );
    return this.limit - reserved.reduce((sum, slots) => sum + slots, 0);
  }

  /**
   * Counts the whole slots guaranteed to an urgency; a fraction of a slot is granted as slot time.
   */
  #countGuaranteed(urgency: Urgency): number {
    return Math.floor(this.limit * GUARANTEED_SHARES[urgency]);
  }

  /** Counts the free slots reserved for an urgency. */
  #countReserved(urgency: Urgency): number {
    const { running, demandMeter } = this.#stateByUrgency[urgency];
    const needed = Math.min(demandMeter.estimateSlots(), this.#countGuaranteed(urgency));
    const minimum = urgency === 'urgent' ? this.#computeUrgentReserve() : 0;
    return Math.max(0, Math.max(needed, minimum) - running);
  }

  #updateDemand(urgency: Urgency, now: number): void {
    const { demandMeter, running, queues } = this.#stateByUrgency[urgency];
    // Without the upper bound, a flood would affect the estimate long after its end.
    demandMeter.update(Math.min(running + queues.size, this.#countGuaranteed(urgency)), now);
  }

  /** Computes the slots that only urgent jobs may use, so that long jobs can't occupy all slots. */
  #computeUrgentReserve(): number {
    if (this.limit < 2) return 0;
    const { normal, batch } = this.#stateByUrgency;
    const isShort = [normal, batch].every(
      ({ running, runTime, queues }) =>
        (running === 0 && queues.size === 0) ||
        (runTime.isMeasured && runTime.peak < URGENT_START_TIMEOUT_MS),
    );
    return isShort ? 0 : Math.max(1, Math.floor(this.limit * URGENT_RESERVE_SHARE));
  }

  #estimateCost(urgency: Urgency): number {
    return Math.max(1, this.estimateRunMs(urgency));
  }

  /**
   * Credits the urgencies with queued jobs for the slot time of a start and charges the started
   * one.
   */
  #updateCredits(started: Urgency): void {
    const cost = this.#estimateCost(started);
    URGENCY_ORDER.forEach((urgency) => {
      const state = this.#stateByUrgency[urgency];
      const accrued = state.credit + GUARANTEED_SHARES[urgency] * cost;
      const remaining = urgency === started ? Math.max(0, accrued - cost) : accrued;
      // An urgency without queued jobs leaves its share to the others and accrues no credit.
      state.credit = state.queues.size > 0 ? remaining : 0;
    });
  }

  /** Estimates the wait of a new job in milliseconds from measured run times and the jobs ahead. */
  #estimateWaitMs(urgency: Urgency, team: string): number {
    const isFree = this.queued === 0 && this.running < this.#countUsable(urgency);
    if (this.limit === 0 || isFree) return 0;
    const own = this.#stateByUrgency[urgency].queues.countAhead(team) * this.estimateRunMs(urgency);
    const place = URGENCY_ORDER.indexOf(urgency);
    let ahead = own;
    let share = 1;
    URGENCY_ORDER.forEach((other, index) => {
      const { size } = this.#stateByUrgency[other].queues;
      if (index < place) ahead += size * this.estimateRunMs(other);
      if (index > place && size > 0) share -= GUARANTEED_SHARES[other];
    });
    const byOrder = ahead / share;
    const byShare = GUARANTEED_SHARES[urgency] > 0 ? own / GUARANTEED_SHARES[urgency] : Infinity;
    // The next slot becomes free after a fraction of the mean run time.
    return (Math.min(byOrder, byShare) + this.#all.mean) / Math.max(1, this.#countUsable(urgency));
  }
}
