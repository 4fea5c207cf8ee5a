import type { Clock } from '../clock/mod.js';
import {
  measureRecord,
  StoreLimits,
  type AppendResponse,
  type AppendOptions,
  type KeyedValue,
  type NewestPage,
  type ReadResponse,
  type Store,
  type StoreRecord,
  type StoreTopic,
} from '../port/mod.js';
import { EmulatedLog } from './_EmulatedLog.js';
import { StoreConnection } from './_StoreConnection.js';

/** Number of latest appends per writer whose retries get the original response. */
const DEDUPLICATED_APPENDS = 5;

/** Fault mode of the store. */
export type StoreMode =
  | 'normal'
  /** Rejects every call. */
  | 'refusing'
  /** Neither executes nor answers calls. */
  | 'silent'
  /** Executes every call but does not answer appends. */
  | 'losing-answers'
  /** Resets the connection of every call without executing it, and of the reads that wait. */
  | 'resetting';

/** A store that is slow answers an append with an error if those before it take longer, in ms. */
const MAX_QUEUE_MS = 2_000;

/** An append that a node has sent, whatever became of it. */
export interface SentAppend {
  node: string;
  keys: readonly string[];
}

const LIMITS = StoreLimits.parse({});

interface WriterState {
  epoch: number;
  recentAppends: { sequence: number; answer: AppendResponse }[];
}

/**
 * In-memory store of the platform: keyed logs with epochs, conditional appends and expiry, and with
 * fault injection. Each node has its own connection, whose faults can be set separately.
 *
 * @example
 * ```ts
 * const store = new EmulatedStore(clock);
 * const connection = store.connect('node-1');
 * await connection.append([{ key: 'wave/1', value: '{}' }]);
 * store.setMode('silent', 'node-1');
 * ```
 */
export class EmulatedStore {
  readonly #clock: Clock;

  readonly #logs: Record<StoreTopic | 'status', EmulatedLog> = {
    work: new EmulatedLog(),
    operator: new EmulatedLog(),
    hosts: new EmulatedLog(),
    status: new EmulatedLog(),
  };

  readonly #writers = new Map<string, WriterState>();

  readonly #nodeModes = new Map<string, StoreMode>();

  /** Delay in ms of the next append of a node, which is not answered. */
  readonly #appendDelays = new Map<string, number>();

  #mode: StoreMode = 'normal';

  #latencyMs = 0;

  /** Monotonic time in ms at which all appends that have been received are executed. */
  #appendsDoneAt = -Infinity;

  #rejectedCount = 0;

  /** All appends that nodes have sent, oldest first. */
  readonly sent: SentAppend[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get clock(): Clock {
    return this.#clock;
  }

  /** Number of appends that were rejected for their size. */
  get rejectedCount(): number {
    return this.#rejectedCount;
  }

  /** Creates the connection of a node. */
  connect(node: string): Store {
    return new StoreConnection(this, node);
  }

  /** Sets the fault mode for one node or, without a name, for all nodes. */
  setMode(mode: StoreMode, node?: string): void {
    if (node === undefined) this.#mode = mode;
    else this.#nodeModes.set(node, mode);
    if (mode !== 'resetting') return;
    Object.values(this.#logs).forEach((log) => [...log.waiting].forEach((wake) => wake()));
  }

  /** Executes the next append of a node after a delay in ms, without an answer. */
  holdNextAppend(node: string, delayMs: number): void {
    this.#appendDelays.set(node, delayMs);
  }

  /** Returns the delay in ms of an append that a node makes now; undefined if there is none. */
  takeAppendDelay(node: string): number | undefined {
    const delayMs = this.#appendDelays.get(node);
    this.#appendDelays.delete(node);
    return delayMs;
  }

  /** Latency in ms of reads and of an append that does not wait for others. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** Sets the latency in ms; appends are executed one at a time and each takes this long. */
  setLatency(latencyMs: number): void {
    this.#latencyMs = latencyMs;
  }

  /** Adds an append to those that wait; returns its time in ms, or undefined if too many wait. */
  reserveAppend(): number | undefined {
    const now = this.#clock.readMonotonic();
    const queuedMs = Math.max(0, this.#appendsDoneAt - now);
    if (queuedMs > MAX_QUEUE_MS) return undefined;
    this.#appendsDoneAt = now + queuedMs + this.#latencyMs;
    return queuedMs + this.#latencyMs;
  }

  /** Returns the fault mode for a node. */
  getMode(node: string): StoreMode {
    const nodeMode = this.#nodeModes.get(node) ?? 'normal';
    return nodeMode === 'normal' ? this.#mode : nodeMode;
  }

  /** Appends a record as the operator or a host. */
  write(topic: StoreTopic, key: string, value: string | undefined): void {
    this.#logs[topic].append([{ key, value }]);
  }

  /** Expires all records of a log; the newest record of each key remains available. */
  expire(topic: StoreTopic): void {
    this.#logs[topic].expire();
  }

  /** Lists the newest record of each key. */
  listNewest(topic: StoreTopic | 'status'): StoreRecord[] {
    return [...this.#logs[topic].newest.values()];
  }

  /** Finds the latest published state of a wave. */
  findWaveState(wave: number): string | undefined {
    return this.#logs.status.newest.get(`wave/${wave}`)?.value?.toString('utf8');
  }

  /** Appends records to the work log as a node. */
  append(values: readonly KeyedValue[], options: AppendOptions): AppendResponse {
    const sizes = values.map(measureRecord);
    const bytes = sizes.reduce((sum, size) => sum + size, 0);
    if (sizes.some((size) => size > LIMITS.recordBytes) || bytes > LIMITS.requestBytes) {
      this.#rejectedCount += 1;
      return { type: 'rejected', reason: `${bytes} bytes in ${values.length} records` };
    }
    const log = this.#logs.work;
    const { writer, expectedEnd } = options;
    if (expectedEnd !== undefined && expectedEnd !== log.end) {
      return { type: 'conflict', end: log.end };
    }
    if (writer === undefined) return { type: 'appended', offset: log.append(values), end: log.end };
    const state = this.#writers.get(writer.name) ?? { epoch: 0, recentAppends: [] };
    if (writer.epoch < state.epoch) return { type: 'fenced' };
    if (writer.epoch > state.epoch)
      Object.assign(state, { epoch: writer.epoch, recentAppends: [] });
    const duplicate = state.recentAppends.find(({ sequence }) => sequence === writer.sequence);
    if (duplicate !== undefined) return duplicate.answer;
    const latest = state.recentAppends.at(-1);
    if (latest !== undefined && writer.sequence !== latest.sequence + 1) {
      return { type: 'sequence', expected: latest.sequence + 1 };
    }
    const offset = log.append(values);
    const answer: AppendResponse = { type: 'appended', offset, end: log.end };
    state.recentAppends = [...state.recentAppends, { sequence: writer.sequence, answer }].slice(
      -DEDUPLICATED_APPENDS,
    );
    this.#writers.set(writer.name, state);
    return answer;
  }

  /** Publishes the state of a wave as a node. */
  publish(wave: number, state: string): AppendResponse {
    const log = this.#logs.status;
    const offset = log.append([{ key: `wave/${wave}`, value: state }]);
    return { type: 'appended', offset, end: log.end };
  }

  /** Reads records as a node; waits up to `waitMs` for a new record. */
  async read(topic: StoreTopic, from: number, waitMs: number): Promise<ReadResponse> {
    const log = this.#logs[topic];
    if (from < log.first) return { type: 'expired', first: log.first };
    if (from >= log.end && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(() => resolve(), waitMs);
        const wake = (): void => {
          clearTimeout(timer);
          log.waiting.delete(wake);
          resolve();
        };
        log.waiting.add(wake);
      });
    }
    if (from < log.first) return { type: 'expired', first: log.first };
    return { type: 'records', end: log.end, records: log.records.slice(from - log.first) };
  }

  /** Reads the newest record of each key as a node. */
  readNewest(topic: StoreTopic): NewestPage {
    const log = this.#logs[topic];
    const records = [...log.newest.values()].sort((one, other) => (one.key < other.key ? -1 : 1));
    return { records, next: undefined, end: log.end };
  }
}
