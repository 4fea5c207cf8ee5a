import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';
import type { MaintenanceOrder } from './MaintenancePlanner.js';

/** A command that the owner of a shard has to execute. */
export type ShardCommand =
  | { type: 'start'; run: Run; leaseEndMs: number; checkpoint: string; ticket: string | undefined }
  | { type: 'stop'; host: ManagedHost; task: string; number: number }
  | { type: 'pace'; run: Run; percent: number }
  | { type: 'move'; machine: string; pool: string }
  | { type: 'maintain'; order: MaintenanceOrder }
  | { type: 'publish-wave'; wave: number; state: 'running' | 'completed' }
  | { type: 'check-health'; host: ManagedHost; path: string }
  | { type: 'ask-advice'; step: string; hostIds: string[] };

/** Log record of a decision: its kind, its subject and its inputs. */
export interface DecisionRecord {
  decision: string;
  subject: string;
  inputs: Record<string, unknown>;
}

/** Receiver of the commands and decision records of the scheduling classes. */
export abstract class ShardOutput {
  abstract send(command: ShardCommand): void;

  abstract record(decisionRecord: DecisionRecord): void;
}
