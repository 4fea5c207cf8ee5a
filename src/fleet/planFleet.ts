import type { ConditionTimer } from '../clock/mod.js';
import type { LendingPolicy, PlacementPolicy } from '../contract/mod.js';
import type { RecordBody } from '../record/mod.js';
import { HostLists } from './_HostLists.js';
import { PlanDraft } from './_PlanDraft.js';
import { listUnrebooted, planOngoing } from './_planOngoing.js';
import { planPlacement, type Shortage } from './_planPlacement.js';
import { planWaves } from './_planWaves.js';
import type { Fleet } from './Fleet.js';

/** What a plan depends on besides the state of the fleet. */
export interface PlanOptions {
  /** Present time, in milliseconds since the Unix epoch. */
  now: number;
  policy: PlacementPolicy;
  lending: LendingPolicy;
  /** How long shortages and surpluses have lasted; the plan updates it for the next plan. */
  timer: ConditionTimer;
}

/** What a planner proposes. */
export interface Plan {
  /** Records to append, in this order. */
  bodies: RecordBody[];
  /** Hosts in maintenance that have to be asked again to reboot. */
  reboots: string[];
  /** What the pools lack and no proposal provides. */
  shortages: Shortage[];
}

function* runPlan(draft: PlanDraft, options: PlanOptions): Generator<undefined, Plan> {
  const lists = yield* HostLists.collect(draft);
  const reboots = listUnrebooted(draft, lists);
  yield* planOngoing(draft, lists);
  const shortages = yield* planPlacement({ draft, lists, ...options });
  yield* planWaves(draft, lists);
  return { bodies: draft.bodies, reboots, shortages };
}

/**
 * Plans the next records.
 *
 * The fleet is copied in the call, which must be made in its owner's turn; the generator then works
 * on the copy and yields between slices. The plan depends only on the copy and the options, and
 * none of its records is rejected at that state.
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
