import { ShardOutput, type DecisionRecord, type ShardCommand } from '../schedule/mod.js';
import type { NodeContext } from './NodeContext.js';

/** Buffers the commands of a shard and logs its decisions. */
export class OwnerOutput extends ShardOutput {
  readonly commands: ShardCommand[] = [];

  readonly #context: NodeContext;

  constructor(context: NodeContext) {
    super();
    this.#context = context;
  }

  override send(command: ShardCommand): void {
    this.commands.push(command);
  }

  override record({ decision, subject, inputs }: DecisionRecord): void {
    this.#context.log.record(decision, subject, inputs);
  }
}
