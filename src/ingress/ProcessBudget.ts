import { ConnectionBudget } from './ConnectionBudget.js';
import { HeldTotals } from './HeldTotals.js';
import type { IngressBound, IngressSettings } from './IngressSettings.js';

/**
 * A connection is closed for another one only if it occupies this many times as much memory, so that
 * ordinary callers do not close each other's connections.
 */
const CLOSE_FACTOR = 2;

/** How the process gets within its bounds again. */
export type Relief =
  | { type: 'none' }
  /** The connection of this budget must be closed. */
  | { type: 'close'; bound: IngressBound; connection: ConnectionBudget }
  /** The request or connection that led to the bound must be refused. */
  | { type: 'refuse'; bound: IngressBound };

/** Options of a `ProcessBudget`. */
export interface ProcessBudgetOptions {
  /** Maximum number of open descriptors of the process; unknown if absent. */
  descriptorLimit?: number;
}

/** Finds the connection that is better to close than all others, by a comparison of two. */
function findFirst(
  connections: Iterable<ConnectionBudget>,
  compare: (one: ConnectionBudget, other: ConnectionBudget) => number,
): ConnectionBudget | undefined {
  let first: ConnectionBudget | undefined;
  for (const connection of connections) {
    if (first === undefined || compare(connection, first) < 0) first = connection;
  }
  return first;
}

/**
 * What the callers of a process occupy together, and which connection is closed or which request
 * refused when this is too much.
 *
 * Ordinary callers come first: the connections that occupy the most are closed, and a request is
 * refused only if none occupies much more than its own connection.
 *
 * @example
 * ```ts
 * const budget = new ProcessBudget(IngressSettings.parse({}), { descriptorLimit: 4_100 });
 * const connection = budget.openConnection(0);
 * budget.chooseRelief(connection); // { type: 'none' }
 * ```
 */
export class ProcessBudget {
  readonly #settings: IngressSettings;

  readonly #maxConnections: number;

  readonly #connections = new Set<ConnectionBudget>();

  /** Includes the requests that are executed although their connection has been closed. */
  readonly #totals = new HeldTotals();

  constructor(
    settings: IngressSettings,
    { descriptorLimit = Infinity }: ProcessBudgetOptions = {},
  ) {
    this.#settings = settings;
    // At least half of the descriptors serve callers, also where few of them are permitted.
    const available = Math.max(
      descriptorLimit - settings.reservedDescriptors,
      Math.floor(descriptorLimit / 2),
    );
    this.#maxConnections = Math.min(settings.maxConnections, available);
  }

  /** Maximum number of connections: as set, or as the descriptors permit. */
  get maxConnections(): number {
    return this.#maxConnections;
  }

  get connections(): ReadonlySet<ConnectionBudget> {
    return this.#connections;
  }

  /** Estimated memory in bytes that is held for requests and responses. */
  get heldBytes(): number {
    return this.#totals.heldBytes;
  }

  /** Requests that are being served or wait. */
  get openRequests(): number {
    return this.#totals.openRequests;
  }

  /** Adds a connection, which `chooseConnectionRelief` may then choose to refuse. */
  openConnection(nowMs: number): ConnectionBudget {
    const connection = new ConnectionBudget(this.#settings, {
      totals: this.#totals,
      nowMs,
    });
    this.#connections.add(connection);
    return connection;
  }

  /** Removes a connection. A request that is being executed counts until it has finished. */
  closeConnection(connection: ConnectionBudget): void {
    connection.close();
    this.#connections.delete(connection);
  }

  /** Chooses what to close when `newest` has been opened and there are too many connections. */
  chooseConnectionRelief(newest: ConnectionBudget): Relief {
    if (this.#connections.size <= this.#maxConnections) return { type: 'none' };
    const bound = 'connections';
    const idle = [...this.#connections].filter((one) => one !== newest && !one.isExecuting);
    const first = findFirst(
      idle,
      (one, other) =>
        other.releasableBytes - one.releasableBytes ||
        Number(one.hasBeenServed) - Number(other.hasBeenServed) ||
        one.lastActiveMs - other.lastActiveMs,
    );
    return first === undefined
      ? { type: 'refuse', bound }
      : { type: 'close', bound, connection: first };
  }

  /**
   * Chooses what to close or refuse when the request of a connection has increased what is held. To
   * be repeated after a connection has been closed.
   */
  chooseRelief(requester: ConnectionBudget): Relief {
    const bound = this.#findExceeded();
    if (bound === undefined) return { type: 'none' };
    const largest = findFirst(
      this.#connections,
      (one, other) => other.releasableBytes - one.releasableBytes,
    );
    const isMuchLarger =
      largest !== undefined &&
      largest !== requester &&
      largest.releasableBytes >= CLOSE_FACTOR * requester.heldBytes;
    return isMuchLarger ? { type: 'close', bound, connection: largest } : { type: 'refuse', bound };
  }

  #findExceeded(): IngressBound | undefined {
    if (this.heldBytes > this.#settings.maxHeldBytes) return 'held-bytes';
    return this.openRequests > this.#settings.maxOpenRequests ? 'open-requests' : undefined;
  }
}
