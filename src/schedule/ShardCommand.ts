import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';
import type { MaintenanceOrder } from './MaintenancePlanner.js';

/** What the owner of a shard has to carry out. */
export type ShardCommand =
  | { type: 'start'; run: Run; leaseEndMs: number; checkpoint: string; ticket: string | undefined }
  | { type: 'stop'; host: ManagedHost; task: string; number: number }
  | { type: 'pace'; run: Run; percent: number }
  | { type: 'move'; machine: string; pool: string }
  | { type: 'maintain'; order: MaintenanceOrder }
  | { type: 'publish-wave'; wave: number; state: 'running' | 'completed' }
  | { type: 'check-health'; host: ManagedHost; path: string }
  | { type: 'ask-advice'; step: string; hostIds: string[] };

/** A decision for the log: what was decided about what, and the inputs that decided it. */
export interface DecisionRecord {
  decision: string;
  subject: string;
  inputs: Record<string, unknown>;
}

/** Where the scheduling classes put their commands and notes. */
export abstract class ShardOutput {
  abstract send(command: ShardCommand): void;

  abstract record(decisionRecord: DecisionRecord): void;
}
