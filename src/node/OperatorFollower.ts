import type { TimeReading } from '../clock/mod.js';
import type { Configuration, StoreRecord, WaveOrder } from '../port/mod.js';
import type { NodeContext } from './NodeContext.js';
import { TopicFollower } from './TopicFollower.js';

/** Delay between reads in ms; a new configuration has to take effect within a few seconds. */
const READ_DELAY_MS = 50;
/**
 * Long polling: maximum time in ms that a read waits in a deployment with organisations. Each read
 * proves that the API keys are current only for the time at which it was sent, so the proof is up to
 * two such times old, plus the response times.
 */
const KEYED_LONG_POLL_MS = 400;

/** The operator's configuration and maintenance waves. */
export interface OperatorState {
  configuration: Configuration | undefined;
  waves: ReadonlyMap<number, WaveOrder>;
  /** Monotonic time in ms at which the state was known to be current. */
  freshAt: number;
  isCurrent: boolean;
  /** See `FollowerState.provenAt`. */
  provenAt?: TimeReading | undefined;
}

/** Messages of the operator follower. */
export interface OperatorFollowerMessage {
  type: 'none';
}

/**
 * Follows the operator's configuration and waves. A configuration with a lower version or offset
 * than the active one is ignored.
 */
export class OperatorFollower extends TopicFollower<OperatorFollowerMessage> {
  readonly #onChange: (state: OperatorState) => void;

  readonly #waves = new Map<number, WaveOrder>();

  /** Wave of each record key that has been read. */
  readonly #waveKeys = new Map<string, number>();

  #configuration: Configuration | undefined;

  #configurationOffset = -1;

  constructor(context: NodeContext, onChange: (state: OperatorState) => void) {
    super(context, 'operator', READ_DELAY_MS);
    this.#onChange = onChange;
  }

  protected override applyRecords(records: readonly StoreRecord[], isSnapshot: boolean): void {
    this.applyEach(records, (record) => this.#apply(record));
    if (isSnapshot) this.#removeMissingWaves(records);
    const { freshAt, isCurrent, provenAt } = this.state;
    this.#onChange({
      configuration: this.#configuration,
      waves: this.#waves,
      freshAt,
      isCurrent,
      provenAt,
    });
  }

  protected override handle(): void {
    // There are no additional messages.
  }

  /** Removes the waves that a snapshot lacks: their removal has expired in the log. */
  #removeMissingWaves(records: readonly StoreRecord[]): void {
    const listed = new Set(records.map(({ key }) => key));
    [...this.#waveKeys].forEach(([key, wave]) => {
      if (listed.has(key)) return;
      this.#waveKeys.delete(key);
      this.#waves.delete(wave);
    });
  }

  #apply(record: StoreRecord): void {
    const decoded = this.context.decoder.decodeOperator(record);
    switch (decoded.type) {
      case 'configuration': {
        const { configuration } = decoded;
        if (record.offset <= this.#configurationOffset) return;
        if (configuration.version < (this.#configuration?.version ?? -Infinity)) return;
        this.#configurationOffset = record.offset;
        this.#configuration = configuration;
        if (configuration.organisations !== undefined) this.longPollMs = KEYED_LONG_POLL_MS;
        this.context.log.record('configuration', String(configuration.version), {
          offset: record.offset,
          queues: configuration.queues.length,
        });
        break;
      }
      case 'wave':
        this.#waveKeys.set(record.key, decoded.order.wave);
        this.#waves.set(decoded.order.wave, decoded.order);
        this.context.log.record('wave', String(decoded.order.wave), {
          machines: decoded.order.machines.length,
          durationMs: decoded.order.durationMs,
          cap: decoded.order.cap,
        });
        break;
      case 'wave-removed':
        this.#waveKeys.delete(record.key);
        this.#waves.delete(decoded.wave);
        break;
      default:
        this.context.log.record('record-skipped', decoded.key, { reason: decoded.reason });
    }
  }
}
