import { ShardOutput, type DecisionRecord, type ShardCommand } from '../schedule/mod.js';

/** Keeps the commands and decisions of a shard for a test. */
export class CollectingOutput extends ShardOutput {
  readonly commands: ShardCommand[] = [];

  readonly decisionRecords: DecisionRecord[] = [];

  override send(command: ShardCommand): void {
    this.commands.push(command);
  }

  override record(decisionRecord: DecisionRecord): void {
    this.decisionRecords.push(decisionRecord);
  }
}
