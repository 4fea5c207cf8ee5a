import { ShardOutput, type DecisionNote, type ShardCommand } from '../schedule/mod.js';

/** Records the commands and decisions of a shard. */
export class RecordingShardOutput extends ShardOutput {
  readonly commands: ShardCommand[] = [];

  readonly notes: DecisionNote[] = [];

  override send(command: ShardCommand): void {
    this.commands.push(command);
  }

  override record(note: DecisionNote): void {
    this.notes.push(note);
  }
}
