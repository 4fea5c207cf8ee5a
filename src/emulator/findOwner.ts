import { WorkLogKey, OwnerRecord } from '../workLog/mod.js';
import type { EmulatedStore } from './EmulatedStore.js';

/** Finds the name of the node that owns the shard; undefined before the first claim. */
export function findOwner(store: EmulatedStore): string | undefined {
  const record = store.listNewest('work').find(({ key }) => key === WorkLogKey.owner);
  if (record?.value === undefined) return undefined;
  return OwnerRecord.parse(JSON.parse(record.value.toString('utf8'))).node;
}
