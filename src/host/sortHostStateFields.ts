import { HostState } from './HostState.js';

const FIELDS = Object.keys(HostState.shape) as (keyof HostState)[];

/**
 * Copies a host state with its fields in schema order and without undefined fields.
 *
 * Snapshots are compared by the hash of their JSON text. A snapshot that was parsed with the schema
 * has its fields in this order, so every other snapshot needs the same order.
 */
export function sortHostStateFields(state: HostState): HostState {
  const entries = FIELDS.flatMap((field) =>
    state[field] === undefined ? [] : [[field, state[field]] as const],
  );
  return Object.fromEntries(entries) as unknown as HostState;
}
