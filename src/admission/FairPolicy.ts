import { Urgency } from '../job/mod.js';
import {
  AdmissionPolicy,
  type Finish,
  type Shed,
  type Submission,
  type Ticket,
} from './AdmissionPolicy.js';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';
import type { Queued } from './_DeadlineQueue.js';
import { DemandMeter } from './_DemandMeter.js';
import { RunTimeEstimate } from './RunTimeEstimate.js';
import { TeamQueues } from './_TeamQueues.js';

/** Urgent work starts within 2.3 s at the host or is refused; 50 ms are left for the way there. */
export const URGENT_START_MS = 2_250;
/**
 * Shares of the slots that an urgency gets at least while it has jobs for them. Each is above the mean
 * load of its urgency, 8%, 24% and 8%, so that a flood of one leaves the others their mean; batch
 * never gets less than one slot in twenty. What is left over goes to the most urgent work.
 */
const GUARANTEED: Record<Urgency, number> = { urgent: 0.3, normal: 0.4, batch: 0.18 };
/** Slots kept free of other work, as a part of the limit, while that work runs long. */
const URGENT_RESERVE = 0.1;
/** Bounds memory: a waiting job holds its body and its caller's connection. */
const MAX_QUEUED = 2_000;
/** From most to least urgent. */
const ORDER = Urgency.options;

interface UrgencyState {
  queues: TeamQueues;
  /** Slot time in milliseconds that this urgency is owed while it waits. */
  credit: number;
  running: number;
  demand: DemandMeter;
  estimate: RunTimeEstimate;
}

/** Bounds of a policy. */
export interface FairPolicyOptions {
  maxQueued?: number;
}

function createState(): UrgencyState {
  const estimate = new RunTimeEstimate();
  return { queues: new TeamQueues(), credit: 0, running: 0, demand: new DemandMeter(), estimate };
}

/**
 * The admission policy of a service: urgencies with guaranteed shares, teams by quota, deadlines.
 *
 * A flood of one urgency fills every slot that it may use, and jobs are not interrupted. Slots that
 * the other urgencies needed recently are therefore kept free within their guaranteed shares, so that
 * their jobs need not wait for a job of the flood to end.
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
  readonly #states: Record<Urgency, UrgencyState> = {
    urgent: createState(),
    normal: createState(),
    batch: createState(),
  };

  readonly #maxQueued: number;

  readonly #limit = new ConcurrencyLimit();

  readonly #all = new RunTimeEstimate();

  readonly #queuedIds = new Map<string, { urgency: Urgency; team: string }>();

  readonly #runningIds = new Map<string, Urgency>();

  /** Jobs found late by `take`, for the next `expire`. */
  readonly #late: Shed[] = [];

  #sequence = 0;

  constructor(options: FairPolicyOptions = {}) {
    super();
    this.#maxQueued = options.maxQueued ?? MAX_QUEUED;
  }

  override get queued(): number {
    return this.#queuedIds.size;
  }

  override get running(): number {
    return this.#runningIds.size;
  }

  override get limit(): number {
    return this.#limit.value;
  }

  override setSlots(slots: number): void {
    this.#limit.setSlots(slots);
  }

  override setQuotas(quotas: ReadonlyMap<string, number>): void {
    ORDER.forEach((urgency) => this.#states[urgency].queues.setQuotas(quotas));
  }

  override submit(ticket: Ticket, now: number): Submission {
    const { urgency } = ticket;
    const state = this.#states[urgency];
    const team = state.queues.getQueueName(ticket.team);
    const waitMs = this.#estimateWait(urgency, team);
    const runMs = this.estimateRun(urgency);
    if (now + waitMs + runMs > ticket.deadline)
      return { admitted: false, reason: 'deadline', waitMs };
    if (urgency === 'urgent' && now + waitMs > ticket.arrivedAt + URGENT_START_MS) {
      return { admitted: false, reason: 'urgent-start', waitMs };
    }
    const displaced: Shed[] = [];
    if (this.queued >= this.#maxQueued) {
      const victim = this.#giveUp(urgency, team);
      if (victim === undefined) return { admitted: false, reason: 'queue-full', waitMs };
      displaced.push({ id: victim.id, reason: 'displaced' });
    }
    this.#add(ticket, team);
    this.#updateDemand(urgency, now);
    return { admitted: true, displaced };
  }

  override take(now: number): string | undefined {
    while (this.running < this.limit) {
      const urgency = this.#chooseUrgency();
      if (urgency === undefined) return undefined;
      const state = this.#states[urgency];
      const entry = state.queues.take() as Queued;
      this.#queuedIds.delete(entry.id);
      if (now > entry.startBy) {
        this.#late.push({ id: entry.id, reason: entry.lateReason });
        continue;
      }
      this.#runningIds.set(entry.id, urgency);
      state.running += 1;
      this.#giveShares(urgency);
      this.#updateDemand(urgency, now);
      return entry.id;
    }
    return undefined;
  }

  override expire(now: number): Shed[] {
    ORDER.forEach((urgency) => {
      const { queues } = this.#states[urgency];
      let late = queues.listFirst().filter((entry) => now > entry.startBy);
      while (late.length > 0) {
        late.forEach(({ id, lateReason }) => {
          this.remove(id);
          this.#late.push({ id, reason: lateReason });
        });
        late = queues.listFirst().filter((entry) => now > entry.startBy);
      }
    });
    return this.#late.splice(0);
  }

  override remove(id: string): boolean {
    const place = this.#queuedIds.get(id);
    if (place === undefined) return false;
    this.#states[place.urgency].queues.remove(place.team, id);
    this.#queuedIds.delete(id);
    return true;
  }

  override finish(id: string, { ran, runMs }: Finish): void {
    const urgency = this.#runningIds.get(id);
    if (urgency === undefined) return;
    this.#runningIds.delete(id);
    this.#states[urgency].running -= 1;
    if (!ran) return;
    this.#states[urgency].estimate.record(runMs);
    this.#all.record(runMs);
    this.#limit.record(runMs);
  }

  override estimateRun(urgency: Urgency): number {
    const { estimate } = this.#states[urgency];
    return estimate.isMeasured ? estimate.mean : this.#all.mean;
  }

  #add(ticket: Ticket, team: string): void {
    const { id, urgency, arrivedAt } = ticket;
    const startBefore = ticket.deadline - this.estimateRun(urgency);
    const urgentBefore = urgency === 'urgent' ? arrivedAt + URGENT_START_MS : Infinity;
    this.#sequence += 1;
    this.#states[urgency].queues.add({
      id,
      team,
      startBy: Math.min(startBefore, urgentBefore),
      lateReason: urgentBefore < startBefore ? 'urgent-start' : 'deadline',
      sequence: this.#sequence,
    });
    this.#queuedIds.set(id, { urgency, team });
  }

  /** Removes a less urgent job, or one of a team further above its share, for a new job. */
  #giveUp(urgency: Urgency, team: string): Queued | undefined {
    const own = ORDER.indexOf(urgency);
    const lower = ORDER.slice(own + 1).reverse();
    const least = lower.find((one) => this.#states[one].queues.size > 0);
    const { queues } = this.#states[least ?? urgency];
    const victim = queues.findVictim();
    if (victim === undefined) return undefined;
    if (least === undefined && !queues.hasExcess(victim.team, team)) return undefined;
    this.remove(victim.id);
    return victim;
  }

  /** Chooses the urgency that starts next: one that is owed its share, else the most urgent. */
  #chooseUrgency(): Urgency | undefined {
    const waiting = ORDER.filter((urgency) => this.#states[urgency].queues.size > 0);
    const owed = waiting.find((urgency) => this.#isOwed(urgency));
    return owed ?? waiting.find((urgency) => this.running < this.#computeOpen(urgency));
  }

  /** Whether an urgency is below its share: in slots or, if that is less than one, in slot time. */
  #isOwed(urgency: Urgency): boolean {
    const { running, credit } = this.#states[urgency];
    const guaranteed = this.#countGuaranteed(urgency);
    if (guaranteed > 0) return running < guaranteed;
    return credit >= this.#getCost(urgency) && this.running < this.#computeOpen(urgency);
  }

  /** Slots that an urgency may use: all but those kept free for the others. */
  #computeOpen(urgency: Urgency): number {
    const kept = ORDER.filter((other) => other !== urgency).map((other) => this.#countKept(other));
    return this.limit - kept.reduce((sum, slots) => sum + slots, 0);
  }

  /** Whole slots that are guaranteed to an urgency; a part of a slot is given as slot time. */
  #countGuaranteed(urgency: Urgency): number {
    return Math.floor(this.limit * GUARANTEED[urgency]);
  }

  /** Free slots kept for an urgency. */
  #countKept(urgency: Urgency): number {
    const { running, demand } = this.#states[urgency];
    const needed = Math.min(demand.estimateSlots(), this.#countGuaranteed(urgency));
    const least = urgency === 'urgent' ? this.#computeReserve() : 0;
    return Math.max(0, Math.max(needed, least) - running);
  }

  #updateDemand(urgency: Urgency, now: number): void {
    const { demand, running, queues } = this.#states[urgency];
    // Without the bound, a flood that has ended would count for a long time.
    demand.update(Math.min(running + queues.size, this.#countGuaranteed(urgency)), now);
  }

  /** Slots that only urgent work may use, so that long jobs can't hold every slot. */
  #computeReserve(): number {
    if (this.limit < 2) return 0;
    const { normal, batch } = this.#states;
    const isShort = [normal, batch].every(
      ({ running, estimate, queues }) =>
        (running === 0 && queues.size === 0) ||
        (estimate.isMeasured && estimate.high < URGENT_START_MS),
    );
    return isShort ? 0 : Math.max(1, Math.floor(this.limit * URGENT_RESERVE));
  }

  #getCost(urgency: Urgency): number {
    return Math.max(1, this.estimateRun(urgency));
  }

  /** Gives waiting urgencies their part of the slot time of a start and charges the started one. */
  #giveShares(started: Urgency): void {
    const cost = this.#getCost(started);
    ORDER.forEach((urgency) => {
      const state = this.#states[urgency];
      const given = state.credit + GUARANTEED[urgency] * cost;
      const charged = urgency === started ? Math.max(0, given - cost) : given;
      // An urgency without waiting jobs lends its share and saves nothing up.
      state.credit = state.queues.size > 0 ? charged : 0;
    });
  }

  /** Estimates the wait in milliseconds from measured run times and the jobs ahead. */
  #estimateWait(urgency: Urgency, team: string): number {
    const isFree = this.queued === 0 && this.running < this.#computeOpen(urgency);
    if (this.limit === 0 || isFree) return 0;
    const own = this.#states[urgency].queues.countAhead(team) * this.estimateRun(urgency);
    const place = ORDER.indexOf(urgency);
    let ahead = own;
    let share = 1;
    ORDER.forEach((other, index) => {
      const { size } = this.#states[other].queues;
      if (index < place) ahead += size * this.estimateRun(other);
      if (index > place && size > 0) share -= GUARANTEED[other];
    });
    const inOrder = ahead / share;
    const byShare = GUARANTEED[urgency] > 0 ? own / GUARANTEED[urgency] : Infinity;
    // The next slot becomes free after a part of a run time.
    return (Math.min(inOrder, byShare) + this.#all.mean) / Math.max(1, this.#computeOpen(urgency));
  }
}
