import type { HostRecord } from './HostEntry.js';
import type { OperatorRecord } from './OperatorRecord.js';
import type { StoreRecord } from './Store.js';

/** Decodes the records that the operator and the hosts write into types of the product. */
export abstract class RecordDecoder {
  abstract decodeOperator(record: StoreRecord): OperatorRecord;

  abstract decodeHost(record: StoreRecord): HostRecord;
}
