import type { Clock } from '../clock/mod.js';
import type {
  AppendResponse,
  AppendOptions,
  KeyedValue,
  NewestPage,
  ReadResponse,
  Store,
  StoreRecord,
  StoreTopic,
} from '../port/mod.js';
import { EmulatedLog } from './_EmulatedLog.js';
import { StoreConnection } from './_StoreConnection.js';

/** Repeats of this many last appends of a writer get their first answer again. */
const REMEMBERED_APPENDS = 5;

/** How the store treats calls. */
export type StoreMode =
  | 'well'
  /** Refuses every call. */
  | 'refusing'
  /** Answers no call and does nothing. */
  | 'silent'
  /** Does what it is asked and does not answer appends. */
  | 'losing-answers';

interface WriterState {
  epoch: number;
  last: { sequence: number; answer: AppendResponse }[];
}

/**
 * The platform's store in memory: keyed logs with epochs, conditions and retention, and the faults
 * that it may have. Each node gets its own connection, which can be cut by itself.
 *
 * @example
 * ```ts
 * const store = new EmulatedStore(clock);
 * const connection = store.connect('node-1');
 * await connection.append([{ key: 'job/1', value: '{}' }]);
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

  readonly #modes = new Map<string, StoreMode>();

  #mode: StoreMode = 'well';

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get clock(): Clock {
    return this.#clock;
  }

  /** Opens the connection of a node. */
  connect(node: string): Store {
    return new StoreConnection(this, node);
  }

  /** Sets how the store treats all nodes, or one. */
  setMode(mode: StoreMode, node?: string): void {
    if (node === undefined) this.#mode = mode;
    else this.#modes.set(node, mode);
  }

  /** Reads how the store treats a node. */
  getMode(node: string): StoreMode {
    const own = this.#modes.get(node) ?? 'well';
    return own === 'well' ? this.#mode : own;
  }

  /** Writes a record as the operator or a host does. */
  write(topic: StoreTopic, key: string, value: string | undefined): void {
    this.#logs[topic].append([{ key, value }]);
  }

  /** Deletes the records of a log; the newest of each key is kept. */
  expire(topic: StoreTopic): void {
    this.#logs[topic].expire();
  }

  /** Lists the newest record of each key. */
  listNewest(topic: StoreTopic | 'status'): StoreRecord[] {
    return [...this.#logs[topic].newest.values()];
  }

  /** Reads which state of a wave was published last. */
  findWaveState(wave: number): string | undefined {
    return this.#logs.status.newest.get(`wave/${wave}`)?.value?.toString('utf8');
  }

  /** Appends as a node does. */
  append(values: readonly KeyedValue[], options: AppendOptions): AppendResponse {
    const log = this.#logs.work;
    const { writer, expectedEnd } = options;
    if (expectedEnd !== undefined && expectedEnd !== log.end) {
      return { type: 'conflict', end: log.end };
    }
    if (writer === undefined) return { type: 'appended', offset: log.append(values), end: log.end };
    const state = this.#writers.get(writer.name) ?? { epoch: 0, last: [] };
    if (writer.epoch < state.epoch) return { type: 'fenced' };
    if (writer.epoch > state.epoch) Object.assign(state, { epoch: writer.epoch, last: [] });
    const repeated = state.last.find(({ sequence }) => sequence === writer.sequence);
    if (repeated !== undefined) return repeated.answer;
    const last = state.last.at(-1);
    if (last !== undefined && writer.sequence !== last.sequence + 1) {
      return { type: 'sequence', expected: last.sequence + 1 };
    }
    const offset = log.append(values);
    const answer: AppendResponse = { type: 'appended', offset, end: log.end };
    state.last = [...state.last, { sequence: writer.sequence, answer }].slice(-REMEMBERED_APPENDS);
    this.#writers.set(writer.name, state);
    return answer;
  }

  /** Publishes the state of a wave. */
  publish(wave: number, state: string): AppendResponse {
    const log = this.#logs.status;
    const offset = log.append([{ key: `wave/${wave}`, value: state }]);
    return { type: 'appended', offset, end: log.end };
  }

  /** Reads as a node does; waits for a record. */
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

  /** Reads the newest records as a node does. */
  readNewest(topic: StoreTopic): NewestPage {
    const log = this.#logs[topic];
    const records = [...log.newest.values()].sort((one, other) => (one.key < other.key ? -1 : 1));
    return { records, next: undefined, end: log.end };
  }
}
