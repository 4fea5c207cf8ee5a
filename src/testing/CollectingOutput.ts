import { ShardOutput, type DecisionNote, type ShardCommand } from '../schedule/mod.js';

/** Keeps the commands and decisions of a shard for a test. */
export class CollectingOutput extends ShardOutput {
  readonly commands: ShardCommand[] = [];

  readonly notes: DecisionNote[] = [];

  override send(command: ShardCommand): void {
    this.commands.push(command);
  }

  override record(note: DecisionNote): void {
    this.notes.push(note);
  }
}
