import { HostState } from './HostState.js';

const FIELDS = Object.keys(HostState.shape) as (keyof HostState)[];

/**
 * Copies a state with its fields in the order of the schema and without absent ones.
 *
 * Snapshots are compared by the hash of their JSON text, and a snapshot that was read through the
 * schema has this order.
 */
export function sortFields(state: HostState): HostState {
  const entries = FIELDS.flatMap((field) =>
    state[field] === undefined ? [] : [[field, state[field]] as const],
  );
  return Object.fromEntries(entries) as unknown as HostState;
}
