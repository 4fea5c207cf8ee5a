import type { ConditionTimer } from '../clock/mod.js';
import type { LendingPolicy, PlacementPolicy } from '../contract/mod.js';
import type { RecordBody } from '../record/mod.js';
import { HostLists } from './_HostLists.js';
import { PlanDraft } from './_PlanDraft.js';
import { listPendingReboots, planTransitions } from './_planTransitions.js';
import { planPlacement, type Shortage } from './_planPlacement.js';
import { planWaves } from './_planWaves.js';
import type { Fleet } from './Fleet.js';

/** Inputs of a plan besides the fleet state. */
export interface PlanOptions {
  /** Current time, in milliseconds since the Unix epoch. */
  now: number;
  policy: PlacementPolicy;
  lending: LendingPolicy;
  /** Tracks how long shortages and surpluses have lasted. Each plan updates it for the next. */
  timer: ConditionTimer;
}

/** The result of planning. */
export interface Plan {
  /** Record bodies to append, in this order. */
  bodies: RecordBody[];
  /** Hosts in maintenance whose reboot has to be requested again. */
  reboots: string[];
  /** Shortages that remain after all proposals. */
  shortages: Shortage[];
}

function* runPlan(draft: PlanDraft, options: PlanOptions): Generator<undefined, Plan> {
  const lists = yield* HostLists.collect(draft);
  const reboots = listPendingReboots(draft, lists);
  yield* planTransitions(draft, lists);
  const shortages = yield* planPlacement({ draft, lists, ...options });
  yield* planWaves(draft, lists);
  return { bodies: draft.bodies, reboots, shortages };
}

/**
 * Plans the next records.
 *
 * The call copies the fleet and must be made by the actor that owns it, while it handles a message.
 * The generator then works on the copy and yields between slices. The plan depends only on the copy
 * and the options, and all its records are valid at the copied state.
 *
 * @example
 * ```ts
 * const policies = { policy: new SpreadPlacement(), lending: new SustainedShortageLending() };
 * const steps = planFleet(fleet, { now, ...policies, timer: new ConditionTimer() });
 * let step = steps.next();
 * while (!step.done) step = steps.next();
 * step.value.bodies; // records to append
 * ```
 */
export function planFleet(fleet: Fleet, options: PlanOptions): Generator<undefined, Plan> {
  return runPlan(new PlanDraft(fleet, options.now), options);
}
