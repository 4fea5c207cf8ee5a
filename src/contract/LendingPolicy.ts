import type { Pool } from '../pool/mod.js';

/** The state of one pool as input to a lending decision: host counts, and times in milliseconds. */
export interface PoolLendingState {
  pool: Pool;
  /** Members that are neither leaving the pool nor lost, including borrowed hosts. */
  retained: number;
  /** Hosts in `retained` that are not live and not in maintenance. */
  failed: number;
  /** Hosts that are moving to the pool. */
  incoming: number;
  /** Hosts that a sustained overload requires beyond the need and headroom of the pool. */
  extra: number;
  /** Hosts owned by the pool that other pools have borrowed or are about to receive. */
  lent: number;
  /** Hosts in `retained` that other pools own, by owner. */
  borrowed: ReadonlyMap<string, number>;
  /** How long the pool has had a shortage; negative if it has none. */
  shortageMs: number;
  /** How long the pool has had a borrowed host to spare; negative if it has none. */
  returnableMs: number;
}

/** The lending state of a pool without the durations. */
export type PoolSupply = Omit<PoolLendingState, 'shortageMs' | 'returnableMs'>;

/** A number of hosts to move from one pool to another. */
export interface LendingMove {
  from: string;
  to: string;
  count: number;
}

/** The moves that a lending policy requests. */
export interface LendingDecision {
  loans: LendingMove[];
  /** Loans to return: `from` is the borrower, `to` is the owner. */
  returns: LendingMove[];
}

/** Decides how many hosts pools lend to each other. A decision depends only on its input. */
export abstract class LendingPolicy {
  /** Plans the loans and returns of all pools. */
  abstract plan(pools: readonly PoolLendingState[]): LendingDecision;
}
