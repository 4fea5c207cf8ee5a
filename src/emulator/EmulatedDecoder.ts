import {
  RecordDecoder,
  type HostEntry,
  type HostRecord,
  type OperatorRecord,
  type StoreRecord,
} from '../port/mod.js';

/** Decodes emulator records, which are the port types encoded as JSON. */
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
