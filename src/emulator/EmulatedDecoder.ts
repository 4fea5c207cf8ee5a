import {
  RecordDecoder,
  type HostEntry,
  type HostRecord,
  type OperatorRecord,
  type StoreRecord,
} from '../port/mod.js';

/** Reads the records that the emulator writes: the product's own types as JSON. */
export class EmulatedDecoder extends RecordDecoder {
  override decodeOperator({ key, value }: StoreRecord): OperatorRecord {
    if (value === undefined) return { type: 'unknown', key, reason: 'no value' };
    return JSON.parse(value.toString('utf8')) as OperatorRecord;
  }

  override decodeHost({ key: id, value }: StoreRecord): HostRecord {
    if (value === undefined) return { type: 'gone', id };
    return { type: 'entry', entry: JSON.parse(value.toString('utf8')) as HostEntry };
  }
}
