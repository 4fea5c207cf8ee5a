import type { HostRecord } from './HostEntry.js';
import type { OperatorRecord } from './OperatorRecord.js';
import type { StoreRecord } from './Store.js';

/** Decodes the store records written by the operator and the hosts. */
export abstract class RecordDecoder {
  abstract decodeOperator(record: StoreRecord): OperatorRecord;

  abstract decodeHost(record: StoreRecord): HostRecord;
}
