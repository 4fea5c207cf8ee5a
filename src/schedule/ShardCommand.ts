import type { ManagedHost } from './ManagedHost.js';
import type { Run } from './Run.js';
import type { MaintenanceOrder } from './MaintenancePlanner.js';

/** Moves a machine to a pool. */
export interface MoveCommand {
  type: 'move';
  machine: string;
  pool: string;
  /** Incarnation that the order ends; undefined if the machine has none. */
  host: ManagedHost | undefined;
}

/** Starts the maintenance of a machine. */
export interface MaintainCommand extends MaintenanceOrder {
  type: 'maintain';
  /** Incarnation that the order ends; undefined if the machine has none. */
  host: ManagedHost | undefined;
}

/** Subject of an order for a machine: what its response refers to. */
export interface MachineSubject {
  machine: string;
  /** Pool of a move. */
  pool?: string;
  /** Wave of a maintenance. */
  wave?: number;
  /** Incarnation that the order was sent for. */
  host?: ManagedHost | undefined;
}

/** A command that the owner of a shard has to execute. */
export type ShardCommand =
  | { type: 'start'; run: Run; leaseEndMs: number; checkpoint: string; ticket: string | undefined }
  | { type: 'stop'; host: ManagedHost; task: string; number: number }
  | { type: 'pace'; run: Run; percent: number }
  | MoveCommand
  | MaintainCommand
  | { type: 'publish-wave'; wave: number; state: 'running' | 'completed' }
  | { type: 'check-health'; host: ManagedHost; path: string }
  /** `expectedMs` is how long the service needs for the request. */
  | { type: 'ask-advice'; step: string; hostIds: string[]; expectedMs: number };

/** Log record of a decision: its kind, its subject and its inputs. */
export interface DecisionRecord {
  decision: string;
  subject: string;
  inputs: Record<string, unknown>;
}

/** Current value of a quantity, replaced by the next one with the same name and labels. */
export interface Measurement {
  name: string;
  value: number;
  labels: Record<string, string>;
}

/** Receiver of the commands, decision records and measurements of the scheduling classes. */
export abstract class ShardOutput {
  abstract send(command: ShardCommand): void;

  abstract record(decisionRecord: DecisionRecord): void;

  abstract publish(measurement: Measurement): void;
}
