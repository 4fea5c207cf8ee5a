import {
  ShardOutput,
  type DecisionRecord,
  type Measurement,
  type ShardCommand,
} from '../schedule/mod.js';

/** Records the commands and decisions of a shard. */
export class RecordingShardOutput extends ShardOutput {
  readonly commands: ShardCommand[] = [];

  readonly decisionRecords: DecisionRecord[] = [];

  readonly measurements: Measurement[] = [];

  override send(command: ShardCommand): void {
    this.commands.push(command);
  }

  override record(decisionRecord: DecisionRecord): void {
    this.decisionRecords.push(decisionRecord);
  }

  override publish(measurement: Measurement): void {
    this.measurements.push(measurement);
  }
}
