/** The logs of the platform's store that a node reads. */
export type StoreTopic = 'work' | 'operator' | 'hosts';

/** A record of a keyed log. A record without a value drops its key. */
export interface StoreRecord {
  offset: number;
  key: string;
  value: Buffer | undefined;
}

/** A record to append to the work log. */
export interface KeyedValue {
  key: string;
  /** Undefined drops the key. */
  value: string | undefined;
}

/** Identifies the appends of one owner, so that the store refuses those of an earlier owner. */
export interface Writer {
  name: string;
  /** The owner's token; the store refuses a lower one than it has seen. */
  epoch: number;
  /** Number of the append within the epoch, from 0. */
  sequence: number;
}

/** Options of an append. */
export interface AppendOptions {
  /** Append only if the log ends at this offset. */
  expectedEnd?: number;
  writer?: Writer;
  timeoutMs?: number;
}

/** What became of an append that the store answered. */
export type AppendResponse =
  | { type: 'appended'; offset: number; end: number }
  /** The log ends elsewhere; nothing was appended. */
  | { type: 'conflict'; end: number }
  /** A later owner has written; nothing was appended. */
  | { type: 'fenced' }
  /** The sequence number does not follow the last one; nothing was appended. */
  | { type: 'sequence'; expected: number }
  /** Nothing was appended; a later try may succeed. */
  | { type: 'refused'; reason: string };

/** Part of a log from an offset on. */
export type ReadResponse =
  | { type: 'records'; end: number; records: StoreRecord[] }
  /** Records from the offset on have been deleted. */
  | { type: 'expired'; first: number };

/** Newest record of each key, one page. */
export interface NewestPage {
  records: StoreRecord[];
  /** Key after which the next page begins; undefined on the last page. */
  next: string | undefined;
  /** End of the log when the page was made. */
  end: number;
}

/** Options of a read. */
export interface ReadOptions {
  /** Longest time in ms that the store waits for a record. */
  waitMs?: number;
}

/** The platform's store as the product uses it: keyed logs with offsets, conditions and epochs. */
export abstract class Store {
  /**
   * Appends records to the work log, all or none.
   *
   * @throws `StoreUnansweredError` when the outcome is unknown.
   */
  abstract append(records: readonly KeyedValue[], options?: AppendOptions): Promise<AppendResponse>;

  /** Reads a log from an offset on. */
  abstract read(topic: StoreTopic, from: number, options?: ReadOptions): Promise<ReadResponse>;

  /** Reads the newest record of each key, page by page. Pages are not a snapshot. */
  abstract readNewest(topic: StoreTopic, after?: string): Promise<NewestPage>;

  /** Publishes the state of a maintenance wave to the operator. */
  abstract publishWave(wave: number, state: 'running' | 'completed'): Promise<AppendResponse>;

  abstract close(): Promise<void>;
}
