import { Actor, type ActorScope } from '../actor/mod.js';
import type { MaintenanceActions } from './MaintenanceActions.js';

/** Reboots asked for at the same time. */
const CONCURRENT_REBOOTS = 8;

/** Asks for reboots of hosts. */
export interface RebootMessage {
  type: 'reboot';
  hosts: string[];
}

/**
 * Owns the connections over which hosts are rebooted.
 *
 * A reboot whose request fails is not repeated here: the planner finds the host unchanged and asks
 * again, so a lost answer and a lost controller are handled alike.
 */
export class MaintenanceRunner extends Actor<RebootMessage> {
  readonly #actions: MaintenanceActions;

  constructor(scope: ActorScope, actions: MaintenanceActions) {
    super(scope, 'maintenance-runner');
    this.#actions = actions;
  }

  protected override async receive({ hosts }: RebootMessage): Promise<void> {
    for (let at = 0; at < hosts.length; at += CONCURRENT_REBOOTS) {
      const group = hosts.slice(at, at + CONCURRENT_REBOOTS);
      const results = await Promise.allSettled(group.map((host) => this.#actions.reboot(host)));
      results.forEach((result) => {
        if (result.status === 'rejected') this.scope.reportFault(this.name, result.reason as Error);
      });
    }
  }

  override async close(): Promise<void> {
    super.close();
    await this.#actions.close();
  }
}
