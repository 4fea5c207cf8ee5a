import { HostState } from './HostState.js';

const KEYS = Object.keys(HostState.shape) as (keyof HostState)[];

/**
 * Copies a state with its keys in the order of the schema, which is the order after a snapshot was
 * parsed. The hash of a snapshot depends on the order of keys.
 *
 * @example
 * ```ts
 * Object.keys(sortStateKeys({ ...state, pool: 'match' })).indexOf('pool'); // 2
 * ```
 */
export function sortStateKeys(state: HostState): HostState {
  const sorted: Partial<Record<keyof HostState, unknown>> = {};
  KEYS.forEach((key) => {
    if (state[key] !== undefined) sorted[key] = state[key];
  });
  return sorted as HostState;
}
