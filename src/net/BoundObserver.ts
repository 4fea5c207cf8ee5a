import type { IngressBound, ProcessBudget, WaitTimeout } from '../ingress/mod.js';

/** Receives what a `GuardedServer` does at its bounds. */
export abstract class BoundObserver {
  /** Reports that a connection was closed or a request refused because of a bound. */
  abstract report(bound: IngressBound, action: 'close' | 'refuse'): void;

  /** Counts a connection that was closed at a time limit, as happens in ordinary operation. */
  abstract countTimeout(timeout: WaitTimeout): void;

  /** Shows the state of all connections; called after each check of them. */
  abstract show(budget: ProcessBudget): void;
}
