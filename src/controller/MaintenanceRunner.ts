import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { MaintenanceActions } from './MaintenanceActions.js';

const MAX_CONCURRENT_REBOOTS = 8;

/**
 * Maximum age of a decision when its reboot is requested. A process that was suspended after the
 * decision could otherwise reboot hosts that have since returned to service. The planner of rank 0
 * decides again on reboots that are skipped here.
 */
const MAX_DECISION_AGE_MS = 5_000;

/** Requests reboots of hosts. */
export interface RebootMessage {
  type: 'reboot';
  hosts: string[];
  /** Monotonic time in milliseconds of the fleet state that the decision is based on. */
  decidedAt: number;
}

/**
 * Owns the connections over which reboots are requested.
 *
 * Failed requests are not retried here. The planner finds the host unchanged and requests the
 * reboot again, so that a lost answer and a lost controller are handled in the same way.
 */
export class MaintenanceRunner extends Actor<RebootMessage> {
  readonly #actions: MaintenanceActions;

  readonly #clock: Clock;

  constructor(scope: ActorScope, actions: MaintenanceActions, clock: Clock) {
    super(scope, 'maintenance-runner');
    this.#clock = clock;
    this.#actions = actions;
  }

  protected override async receive({ hosts, decidedAt }: RebootMessage): Promise<void> {
    for (let at = 0; at < hosts.length; at += MAX_CONCURRENT_REBOOTS) {
      // The wall clock is read first, so that a suspension between the two reads shortens the
      // deadline.
      const wall = this.#clock.readWall();
      const timeLeftMs = MAX_DECISION_AGE_MS - (this.#clock.readMonotonic() - decidedAt);
      if (timeLeftMs < 0) return;
      const notAfter = Math.floor(wall + timeLeftMs);
      const group = hosts.slice(at, at + MAX_CONCURRENT_REBOOTS);
      const results = await Promise.allSettled(
        group.map((host) => this.#actions.reboot(host, notAfter)),
      );
      results.forEach((result) => {
        if (result.status === 'rejected') this.scope.reportError(this.name, result.reason as Error);
      });
    }
  }

  override async close(): Promise<void> {
    super.close();
    await this.#actions.close();
  }
}
