import { ShardOutput, type DecisionRecord, type ShardCommand } from '../schedule/mod.js';
import type { NodeParts } from './NodeContext.js';

/** Collects the commands of a shard and logs its decisions. */
export class OwnerOutput extends ShardOutput {
  readonly commands: ShardCommand[] = [];

  readonly #parts: NodeParts;

  constructor(parts: NodeParts) {
    super();
    this.#parts = parts;
  }

  override send(command: ShardCommand): void {
    this.commands.push(command);
  }

  override record({ decision, subject, inputs }: DecisionRecord): void {
    this.#parts.log.record(decision, subject, inputs);
  }
}
