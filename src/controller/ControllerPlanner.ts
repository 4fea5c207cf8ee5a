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
/**
 * An unchanged fleet is planned again after this time, because maintenance becomes due and
 * shortages become sustained by the passage of time alone.
 */
const IDLE_PLAN_INTERVAL_MS = 10_000;
/**
 * The pause after a plan is this many times the duration of the plan, which limits planning to 0.5%
 * of a core. A plan for 19,000 hosts takes about 160 ms, and a node may spend 1.3% on control.
 */
const PAUSE_FACTOR = 200;
/**
 * A controller of rank r multiplies the pause by 1 + r, with r limited to this value. Its plans
 * matter only if all controllers of a lower rank are lost; without the factor every node would
 * spend as much processor time on planning as rank 0.
 */
const MAX_PAUSE_RANK = 5;
/** Time limit for verdicts, which never arrive if the replica was restored from a snapshot. */
const VERDICT_TIMEOUT_MS = 60_000;
/** Proposals that the log has not accepted within this time are withdrawn as possibly outdated. */
const SUBMIT_TIMEOUT_MS = 5_000;

/** A longer gap between two ticks means that the process was suspended. */
const MAX_TICK_GAP_MS = 3_000;
/**
 * After a suspension the fleet state may be outdated, so reboots are repeated only after the
 * process has run for this time without another one.
 */
const REBOOT_DELAY_AFTER_SUSPENSION_MS = 10_000;

type PlannerMessage =
  | { type: 'tick' }
  | { type: 'rank'; rank: number }
  | { type: 'submitted'; round: number; bodies: RecordBody[]; answer: LogSubmitResult }
  | { type: 'started'; plan: StartedPlan | undefined }
  | { type: 'slice'; plan: StartedPlan }
  | { type: 'verdict'; round: number; body: RecordBody; answer: VerdictResponse };

/** Options of a `ControllerPlanner`. */
export interface PlannerOptions {
  replica: FleetReplica;
  writer: LogWriter;
  runner: MaintenanceRunner;
  clock: Clock;
  policy: PlacementPolicy;
  lending: LendingPolicy;
}

/**
 * Plans the fleet, proposes the resulting records and requests reboots of hosts whose maintenance
 * was accepted.
 *
 * `FleetReplica` starts a plan while it handles a message. The planner then continues the plan in
 * slices, one per message, so that no other message waits for a whole plan. No plan is started
 * while proposals are pending, so that nothing is proposed twice.
 */
export class ControllerPlanner extends Actor<PlannerMessage> {
  readonly #options: PlannerOptions;

  readonly #timer: NodeJS.Timeout;

  readonly #conditionTimer = new ConditionTimer();

  #isPlanning = false;

  #lastPlanOffset = -1;

  #lastPlanAt = -Infinity;

  #planDurationMs = 0;

  /**
   * Number of the current round of proposals; verdicts of an abandoned earlier round are ignored.
   */
  #round = 0;

  #pendingVerdicts = 0;

  #proposedAt = 0;

  readonly #delay = new ProposalDelay();

  /** Infinite until the rank is known, so that nothing is proposed before. */
  #rank = Number.POSITIVE_INFINITY;

  /**
   * Whether proposals are held back by the rank delay; they are planned again until they are due.
   */
  #hasDelayedProposals = false;

  #lastTickAt: number;

  /** Monotonic time since which the process has run without being suspended. */
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
