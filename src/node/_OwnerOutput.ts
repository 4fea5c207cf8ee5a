import {
  ShardOutput,
  type DecisionRecord,
  type Measurement,
  type ShardCommand,
} from '../schedule/mod.js';
import type { NodeContext } from './NodeContext.js';

/** Buffers the commands of a shard, logs its decisions and exports its measurements. */
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

  override publish(measurement: Measurement): void {
    this.#context.metrics.setGauge(measurement);
  }

  /** Removes the measurements, which are those of an owner. */
  close(): void {
    this.#context.metrics.removeGauges('organisation');
  }
}
