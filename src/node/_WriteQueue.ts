import type { KeyedValue } from '../port/mod.js';
import type { WriteOutcome } from './WorkLogWriter.js';

/** A write whose outcome has not been replied yet. */
export interface PendingWrite {
  record: KeyedValue;
  /** Size of the record's value in bytes. */
  bytes: number;
  reply: (outcome: WriteOutcome) => void;
  /** Monotonic time in ms. */
  deadline: number;
  /** Asked before each append of the record; if it returns false, the write ends. */
  isAllowed: (() => boolean) | undefined;
  /** Results of the failed appends of the record, in order. */
  failures: ('refused' | 'unanswered')[];
  /** The store has rejected it among others, so it is sent again without any. */
  isAlone?: boolean;
}

/** Size limits of one append; no record is added to one that has reached `bytes`. */
export interface BatchLimit {
  records: number;
  bytes: number;
}

/** Checks whether a write may have been executed; otherwise its record is known as not stored. */
export function isUnanswered({ failures }: PendingWrite): boolean {
  return failures.includes('unanswered');
}

/** Returns the part of a key that names the job: `accepted-job/ID/...` and `cancel/ID/...`. */
function findSubject({ record }: PendingWrite): string {
  return record.key.split('/', 2)[1] ?? '';
}

/** Checks whether two writes concern the same job. */
export function isRelated(one: PendingWrite, other: PendingWrite): boolean {
  return findSubject(one) === findSubject(other);
}

/** Writes that wait for an append, oldest first. */
export class WriteQueue {
  #writes: PendingWrite[] = [];

  #bytes = 0;

  get length(): number {
    return this.#writes.length;
  }

  /** Size of the records in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  get writes(): readonly PendingWrite[] {
    return this.#writes;
  }

  add(write: PendingWrite): void {
    this.#writes.push(write);
    this.#bytes += write.bytes;
  }

  /** Adds writes before all others. */
  addFirst(writes: readonly PendingWrite[]): void {
    this.#set([...writes, ...this.#writes]);
  }

  /**
   * Collects the writes of the next append. Those of an unanswered append are sent again only together
   * with related ones: if the store does not answer either, no other record becomes unknown.
   */
  collectBatch(limit: BatchLimit): Set<PendingWrite> {
    const subjects = this.#collectRepeatedSubjects();
    const repeated = this.#writes.filter((write) => subjects.has(findSubject(write)));
    const batch = new Set<PendingWrite>();
    let bytes = 0;
    for (const write of repeated.length > 0 ? repeated : this.#writes) {
      if (batch.size >= limit.records || bytes >= limit.bytes) break;
      if (batch.size > 0 && write.isAlone === true) break;
      batch.add(write);
      bytes += write.bytes;
      if (write.isAlone === true) break;
    }
    return batch;
  }

  /** Takes the writes of the next append. */
  takeBatch(limit: BatchLimit): PendingWrite[] {
    const batch = this.collectBatch(limit);
    return this.takeIf((write) => batch.has(write));
  }

  /** Takes the writes that were never sent and are not related to one of an unanswered append. */
  takeUnsent(): PendingWrite[] {
    const subjects = this.#collectRepeatedSubjects();
    return this.takeIf((write) => write.failures.length === 0 && !subjects.has(findSubject(write)));
  }

  /** Takes the writes for which a condition holds. */
  takeIf(condition: (write: PendingWrite) => boolean): PendingWrite[] {
    const taken = this.#writes.filter(condition);
    const isTaken = new Set(taken);
    if (taken.length > 0) this.#set(this.#writes.filter((write) => !isTaken.has(write)));
    return taken;
  }

  #collectRepeatedSubjects(): Set<string> {
    return new Set(this.#writes.filter(isUnanswered).map(findSubject));
  }

  #set(writes: PendingWrite[]): void {
    this.#writes = writes;
    this.#bytes = writes.reduce((sum, write) => sum + write.bytes, 0);
  }
}
