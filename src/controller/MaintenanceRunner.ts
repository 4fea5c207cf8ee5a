import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { MaintenanceActions } from './MaintenanceActions.js';

/** Reboots asked for at the same time. */
const MAX_CONCURRENT_REBOOTS = 8;

/**
 * A reboot is asked for only this soon after the decision for it. A process that was frozen in
 * between would reboot hosts that have long returned to service; the planner of the first controller
 * decides again about reboots that are passed over here.
 */
const MAX_DECISION_AGE_MS = 5_000;

/** Asks for reboots of hosts. */
export interface RebootMessage {
  type: 'reboot';
  hosts: string[];
  /** Monotonic time of the state that the decision was made on. */
  decidedAt: number;
}

/**
 * Owns the connections over which hosts are rebooted.
 *
 * A reboot whose request fails is not repeated here: the planner finds the host unchanged and asks
 * again, so a lost answer and a lost controller are handled alike.
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
      // The wall clock is read first: a freeze between the two readings then shortens the time left.
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
