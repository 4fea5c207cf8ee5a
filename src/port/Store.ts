/** Topics of the platform's store that a node reads. */
export type StoreTopic = 'work' | 'operator' | 'hosts';

/** A record of a keyed log. A record without a value is a tombstone and deletes its key. */
export interface StoreRecord {
  offset: number;
  key: string;
  value: Buffer | undefined;
}

/** A key and value to append to the work log. */
export interface KeyedValue {
  key: string;
  /** Undefined appends a tombstone. */
  value: string | undefined;
}

/** Identifies the appends of one owner, so that the store can reject those of earlier owners. */
export interface Writer {
  name: string;
  /** Fencing token of the owner; the store rejects tokens lower than the highest one seen. */
  epoch: number;
  /** Sequence number of the append within the epoch, starting at 0. */
  sequence: number;
}

/** Options of an append. */
export interface AppendOptions {
  /** Conditional append: succeeds only if the log ends at this offset. */
  expectedEnd?: number;
  writer?: Writer;
  timeoutMs?: number;
}

/** Response of the store to an append. */
export type AppendResponse =
  | { type: 'appended'; offset: number; end: number }
  /** The log ends at another offset; nothing was appended. */
  | { type: 'conflict'; end: number }
  /** An owner with a higher token has appended; nothing was appended. */
  | { type: 'fenced' }
  /** The sequence number is not the next one; nothing was appended. */
  | { type: 'sequence'; expected: number }
  /** Nothing was appended; a retry may succeed. */
  | { type: 'refused'; reason: string }
  /** Nothing was appended; the same records, for example too large ones, never will be. */
  | { type: 'rejected'; reason: string };

/** Response of the store to a read from an offset. */
export type ReadResponse =
  | { type: 'records'; end: number; records: StoreRecord[] }
  /** Records at the offset have been deleted; `first` is the first one that remains. */
  | { type: 'expired'; first: number };

/** One page of the newest record of each key. */
export interface NewestPage {
  records: StoreRecord[];
  /** Key after which the next page starts; undefined on the last page. */
  next: string | undefined;
  /** End offset of the log when the page was read. */
  end: number;
}

/** Options of a read. */
export interface ReadOptions {
  /** Long polling: maximum time in ms that the store waits for a new record. */
  waitMs?: number;
}

/** Client for the platform's store: keyed logs with offsets, conditional appends and epochs. */
export abstract class Store {
  /**
   * Atomically appends records to the work log.
   *
   * @throws `StoreUnansweredError` if the outcome is unknown.
   */
  abstract append(records: readonly KeyedValue[], options?: AppendOptions): Promise<AppendResponse>;

  /** Reads the records of a topic, starting at an offset. */
  abstract read(topic: StoreTopic, from: number, options?: ReadOptions): Promise<ReadResponse>;

  /** Reads one page of the newest record of each key. Pages are not a consistent snapshot. */
  abstract readNewest(topic: StoreTopic, after?: string): Promise<NewestPage>;

  /** Publishes the state of a maintenance wave to the operator. */
  abstract publishWave(wave: number, state: 'running' | 'completed'): Promise<AppendResponse>;

  abstract close(): Promise<void>;
}
