import { Actor, type ActorScope } from '../actor/mod.js';
import { ConditionTimer, type Clock } from '../clock/mod.js';
import type { LendingPolicy, PlacementPolicy } from '../contract/mod.js';
import type { FleetReplica, Plan, VerdictResponse } from '../fleet/mod.js';
import type { LogWriter, RecordId, LogSubmitResult } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import type { MaintenanceRunner } from './MaintenanceRunner.js';
import { ProposalDelay } from './ProposalDelay.js';
import { PlanProjector, type StartedPlan } from './_PlanProjector.js';

const PLAN_INTERVAL_MS = 500;
/** An unchanged fleet is planned again after this time, since hosts fall due and shortages last. */
const IDLE_PLAN_INTERVAL_MS = 10_000;
/**
 * A plan is followed by a pause of this many times its duration, which bounds planning to 0.5% of a
 * core; a plan for 19,000 hosts takes about 160 ms, and a node may spend 1.3% on control.
 */
const PAUSE_FACTOR = 200;
/**
 * A controller of rank r pauses r more times as long, up to this many: its plan matters only once
 * the controllers before it are lost, and every node would spend the share of rank 0 otherwise.
 */
const MAX_PAUSE_RANK = 5;
/** Verdicts that have not come by then, after a restore from a snapshot, will not come at all. */
const VERDICT_TIMEOUT_MS = 60_000;
/** Proposals that the log did not take by then are withdrawn, since they may be out of date. */
const SUBMIT_TIMEOUT_MS = 5_000;

/** A longer time between two ticks means that the process was frozen. */
const MAX_TICK_GAP_MS = 3_000;
/** After a freeze the state may be old; reboots are repeated only after this time without one. */
const SETTLED_AFTER_MS = 10_000;

type PlannerMessage =
  | { type: 'tick' }
  | { type: 'rank'; rank: number }
  | { type: 'submitted'; round: number; bodies: RecordBody[]; answer: LogSubmitResult }
  | { type: 'started'; plan: StartedPlan | undefined }
  | { type: 'slice'; plan: StartedPlan }
  | { type: 'verdict'; round: number; body: RecordBody; answer: VerdictResponse };

/** What the planner works with. */
export interface PlannerOptions {
  replica: FleetReplica;
  writer: LogWriter;
  runner: MaintenanceRunner;
  clock: Clock;
  policy: PlacementPolicy;
  lending: LendingPolicy;
}

/**
 * Proposes records and has hosts rebooted whose maintenance was accepted.
 *
 * `FleetReplica` starts a plan while it handles a message. The plan then goes on slice by slice, one
 * message each, so that no other message waits for a whole plan. No plan is started while proposals
 * are under way, so that nothing is proposed twice.
 */
export class ControllerPlanner extends Actor<PlannerMessage> {
  readonly #options: PlannerOptions;

  readonly #timer: NodeJS.Timeout;

  readonly #conditions = new ConditionTimer();

  #isPlanning = false;

  #plannedOffset = -1;

  #plannedAt = -Infinity;

  #planMs = 0;

  /** Counts plans; a verdict on an earlier plan that was given up is ignored. */
  #round = 0;

  #awaited = 0;

  #proposedAt = 0;

  readonly #delay = new ProposalDelay();

  /** A process proposes nothing before it knows its rank among the controllers. */
  #rank = Number.POSITIVE_INFINITY;

  /** Whether proposals wait for controllers of a higher rank; they are planned again until due. */
  #isHeldBack = false;

  #tickedAt: number;

  /** Since when the process has run without a freeze. */
  #runningSince: number;

  constructor(scope: ActorScope, options: PlannerOptions) {
    super(scope, 'controller-planner');
    this.#options = options;
    this.#tickedAt = options.clock.readMonotonic();
    this.#runningSince = this.#tickedAt;
    this.#timer = setInterval(() => this.send({ type: 'tick' }), PLAN_INTERVAL_MS);
  }

  protected override receive(message: PlannerMessage): void {
    switch (message.type) {
      case 'tick':
        this.#checkGap();
        this.#startPlan();
        break;
      case 'rank':
        this.#rank = message.rank;
        break;
      case 'submitted':
        this.#queryVerdicts(message);
        break;
      case 'started':
        this.#isPlanning = message.plan !== undefined;
        if (message.plan !== undefined) this.send({ type: 'slice', plan: message.plan });
        break;
      case 'slice':
        this.#runSlice(message.plan);
        break;
      default:
        this.#handleVerdict(message);
    }
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }

  #checkGap(): void {
    const now = this.#options.clock.readMonotonic();
    if (now - this.#tickedAt > MAX_TICK_GAP_MS) this.#runningSince = now;
    this.#tickedAt = now;
  }

  #startPlan(): void {
    const now = this.#options.clock.readMonotonic();
    if (this.#awaited > 0 && now - this.#proposedAt > VERDICT_TIMEOUT_MS) this.#awaited = 0;
    if (this.#isPlanning || this.#awaited > 0) return;
    const pauses = PAUSE_FACTOR * (1 + Math.min(this.#rank, MAX_PAUSE_RANK));
    if (now - this.#plannedAt < pauses * this.#planMs) return;
    this.#planMs = 0;
    this.#isPlanning = true;
    const isIdle = now - this.#plannedAt < IDLE_PLAN_INTERVAL_MS;
    const options = {
      now: this.#options.clock.readWall(),
      policy: this.#options.policy,
      lending: this.#options.lending,
      timer: this.#conditions,
      unlessOffset: isIdle && !this.#isHeldBack ? this.#plannedOffset : -1,
    };
    this.#options.replica.send({
      type: 'project',
      projector: new PlanProjector(options, (plan) => this.send({ type: 'started', plan })),
    });
  }

  #runSlice(plan: StartedPlan): void {
    const begin = this.#options.clock.readMonotonic();
    let step: IteratorResult<undefined, Plan>;
    try {
      step = plan.steps.next();
    } catch (error) {
      this.#isPlanning = false;
      throw error;
    }
    this.#planMs += this.#options.clock.readMonotonic() - begin;
    if (step.done !== true) {
      this.send({ type: 'slice', plan });
      return;
    }
    this.#isPlanning = false;
    this.#plannedOffset = plan.nextOffset;
    this.#plannedAt = this.#options.clock.readMonotonic();
    this.#propose(step.value);
  }

  #propose({ bodies: planned, reboots }: Plan): void {
    const now = this.#options.clock.readMonotonic();
    const bodies = this.#delay.choose(planned, { rank: this.#rank, now });
    this.#isHeldBack = bodies.length < planned.length && Number.isFinite(this.#rank);
    const isSettled = now - this.#runningSince >= SETTLED_AFTER_MS;
    if (reboots.length > 0 && this.#rank === 0 && isSettled) {
      this.#options.runner.send({ type: 'reboot', hosts: reboots, decidedAt: now });
    }
    if (bodies.length === 0) return;
    this.#round += 1;
    this.#awaited = bodies.length;
    this.#proposedAt = now;
    const round = this.#round;
    this.#options.writer.send({
      type: 'submit',
      bodies,
      timeoutMs: SUBMIT_TIMEOUT_MS,
      reply: (answer) => this.send({ type: 'submitted', round, bodies, answer }),
    });
  }

  #queryVerdicts({ round, bodies, answer }: PlannerMessage & { type: 'submitted' }): void {
    if (answer.outcome !== 'appended') {
      if (round === this.#round) this.#awaited = 0;
      return;
    }
    answer.ids.forEach((id: RecordId, index) => {
      const body = bodies[index];
      if (body === undefined) return;
      this.#options.replica.send({
        type: 'verdict',
        id,
        reply: (verdict) => this.send({ type: 'verdict', round, body, answer: verdict }),
      });
    });
  }

  #handleVerdict({ round, body, answer }: PlannerMessage & { type: 'verdict' }): void {
    if (round === this.#round) this.#awaited = Math.max(0, this.#awaited - 1);
    if (body.type !== 'maintenance-start' || answer.verdict.outcome !== 'accepted') return;
    if (round !== this.#round) return;
    const decidedAt = this.#proposedAt;
    this.#options.runner.send({ type: 'reboot', hosts: body.hosts, decidedAt });
  }
}
