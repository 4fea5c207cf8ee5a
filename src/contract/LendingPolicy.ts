import type { Pool } from '../pool/mod.js';

/** What a decision about lending depends on, for one pool. Counts are hosts, times milliseconds. */
export interface LendingPool {
  pool: Pool;
  /** Members that stay: neither on their way out nor lost. Borrowed ones are among them. */
  staying: number;
  /** Those of `staying` that do not answer and are not in maintenance. */
  failed: number;
  /** Hosts on their way to the pool. */
  incoming: number;
  /** Hosts above its rules that a lasting overload asks for. */
  extra: number;
  /** Own hosts that other pools have or are getting. */
  lent: number;
  /** Hosts of other pools among `staying`, by owner. */
  borrowed: ReadonlyMap<string, number>;
  /** For how long the pool has been short; negative when it is not. */
  shortMs: number;
  /** For how long it could have done without a borrowed host; negative when it cannot. */
  calmMs: number;
}

/** The facts about a pool without their durations. */
export type PoolSupply = Omit<LendingPool, 'shortMs' | 'calmMs'>;

/** Hosts that go from one pool to another. */
export interface LendingMove {
  from: string;
  to: string;
  count: number;
}

/** What lending asks for. */
export interface LendingDecision {
  loans: LendingMove[];
  /** Loans that go back: `from` is the borrower, `to` the owner. */
  returns: LendingMove[];
}

/** Decides which hosts go from pool to pool for a time. A decision depends on its input alone. */
export abstract class LendingPolicy {
  /** Decides about all pools at once. */
  abstract plan(pools: readonly LendingPool[]): LendingDecision;
}
