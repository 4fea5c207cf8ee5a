import { Actor, type ActorScope } from '../actor/mod.js';
import { ConditionTimer, type Clock } from '../clock/mod.js';
import type { LendingPolicy, PlacementPolicy } from '../contract/mod.js';
import type { FleetReplica, Plan, VerdictResponse } from '../fleet/mod.js';
import type { LogWriter, RecordId, SubmitAnswer } from '../log/mod.js';
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
const REBOOT_DELAY_AFTER_SUSPENSION_MS = 10_000;

type PlannerMessage =
  | { type: 'tick' }
  | { type: 'rank'; rank: number }
  | { type: 'submitted'; round: number; bodies: RecordBody[]; answer: SubmitAnswer }
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

  readonly #conditionTimer = new ConditionTimer();

  #isPlanning = false;

  #lastPlanOffset = -1;

  #lastPlanAt = -Infinity;

  #planDurationMs = 0;

  /** Counts plans; a verdict on an earlier plan that was given up is ignored. */
  #round = 0;

  #pendingVerdicts = 0;

  #proposedAt = 0;

  readonly #delay = new ProposalDelay();

  /** A process proposes nothing before it knows its rank among the controllers. */
  #rank = Number.POSITIVE_INFINITY;

  /** Whether proposals wait for controllers of a higher rank; they are planned again until due. */
  #hasDelayedProposals = false;

  #lastTickAt: number;

  /** Since when the process has run without a freeze. */
  #runningSince: number;

  constructor(scope: ActorScope, options: PlannerOptions) {
    super(scope, 'controller-planner');
    this.#options = options;
    this.#lastTickAt = options.clock.readMonotonic();
    this.#runningSince = this.#lastTickAt;
    this.#timer = setInterval(() => this.send({ type: 'tick' }), PLAN_INTERVAL_MS);
  }

  protected override receive(message: PlannerMessage): void {
    switch (message.type) {
      case 'tick':
        this.#checkSuspension();
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

  #checkSuspension(): void {
    const now = this.#options.clock.readMonotonic();
    if (now - this.#lastTickAt > MAX_TICK_GAP_MS) this.#runningSince = now;
    this.#lastTickAt = now;
  }

  #startPlan(): void {
    const now = this.#options.clock.readMonotonic();
    if (this.#pendingVerdicts > 0 && now - this.#proposedAt > VERDICT_TIMEOUT_MS)
      this.#pendingVerdicts = 0;
    if (this.#isPlanning || this.#pendingVerdicts > 0) return;
    const pauseFactor = PAUSE_FACTOR * (1 + Math.min(this.#rank, MAX_PAUSE_RANK));
    if (now - this.#lastPlanAt < pauseFactor * this.#planDurationMs) return;
    this.#planDurationMs = 0;
    this.#isPlanning = true;
    const isRecent = now - this.#lastPlanAt < IDLE_PLAN_INTERVAL_MS;
    const options = {
      now: this.#options.clock.readWall(),
      policy: this.#options.policy,
      lending: this.#options.lending,
      timer: this.#conditionTimer,
      skipAtOffset: isRecent && !this.#hasDelayedProposals ? this.#lastPlanOffset : -1,
    };
    this.#options.replica.send({
      type: 'project',
      projector: new PlanProjector(options, (plan) => this.send({ type: 'started', plan })),
    });
  }

  #runSlice(plan: StartedPlan): void {
    const startedAt = this.#options.clock.readMonotonic();
    let step: IteratorResult<undefined, Plan>;
    try {
      step = plan.steps.next();
    } catch (error) {
      this.#isPlanning = false;
      throw error;
    }
    this.#planDurationMs += this.#options.clock.readMonotonic() - startedAt;
    if (step.done !== true) {
      this.send({ type: 'slice', plan });
      return;
    }
    this.#isPlanning = false;
    this.#lastPlanOffset = plan.nextOffset;
    this.#lastPlanAt = this.#options.clock.readMonotonic();
    this.#propose(step.value);
  }

  #propose({ bodies: plannedBodies, reboots }: Plan): void {
    const now = this.#options.clock.readMonotonic();
    const bodies = this.#delay.choose(plannedBodies, { rank: this.#rank, now });
    this.#hasDelayedProposals = bodies.length < plannedBodies.length && Number.isFinite(this.#rank);
    const hasRunLongEnough = now - this.#runningSince >= REBOOT_DELAY_AFTER_SUSPENSION_MS;
    if (reboots.length > 0 && this.#rank === 0 && hasRunLongEnough) {
      this.#options.runner.send({ type: 'reboot', hosts: reboots, decidedAt: now });
    }
    if (bodies.length === 0) return;
    this.#round += 1;
    this.#pendingVerdicts = bodies.length;
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
      if (round === this.#round) this.#pendingVerdicts = 0;
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
    if (round === this.#round) this.#pendingVerdicts = Math.max(0, this.#pendingVerdicts - 1);
    if (body.type !== 'maintenance-start' || answer.verdict.outcome !== 'accepted') return;
    if (round !== this.#round) return;
    const decidedAt = this.#proposedAt;
    this.#options.runner.send({ type: 'reboot', hosts: body.hosts, decidedAt });
  }
}
