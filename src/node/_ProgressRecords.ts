import type { KeyedValue } from '../port/mod.js';
import type { ScheduledJob } from '../schedule/ScheduledJob.js';
import { WorkLogKey } from '../workLog/mod.js';

/**
 * Part of the maximum size of a record up to which the progress of a job is one record; a job that
 * grows beyond it is recorded in parts.
 */
const MAX_SINGLE_RECORD_SHARE = 0.25;

/** Builds the records of the progress of jobs. */
export class ProgressRecords {
  readonly #token: number;

  readonly #maxBytes: number;

  /** @param recordBytes Maximum size of a record. */
  constructor(token: number, recordBytes: number) {
    this.#token = token;
    this.#maxBytes = MAX_SINGLE_RECORD_SHARE * recordBytes;
  }

  /**
   * Builds the records of what has changed in a job. They may be stored one after the other: parts
   * come before the record that depends on them, and are removed after the one that replaces them.
   */
  build(job: ScheduledJob): KeyedValue[] {
    if (!job.isSplit) {
      const single = this.#buildHead(job);
      if (Buffer.byteLength(single.value) <= this.#maxBytes) return [single];
      job.split();
    }
    const { changed, obsolete } = job.takePartChanges();
    return [
      ...changed.map((part) => ({
        key: WorkLogKey.progressPart(job.id, part),
        value: JSON.stringify(part),
      })),
      this.#buildHead(job),
      ...obsolete.map((part) => ({
        key: WorkLogKey.progressPart(job.id, part),
        value: undefined,
      })),
    ];
  }

  #buildHead(job: ScheduledJob): { key: string; value: string } {
    const value = JSON.stringify(job.describeProgress(this.#token));
    return { key: WorkLogKey.progress(job.id), value };
  }
}
