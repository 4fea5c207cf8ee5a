import { z } from 'zod';

/** How a run ended. */
export const RunOutcome = z.enum([
  'done',
  /** The failure was caused by the task or by the host. */
  'failed',
  'stopped',
  /** The host's lease expired. */
  'expired',
  /** Another member of its gang ended. */
  'gang-broken',
  /** The other members of its gang did not start in time. */
  'gang-incomplete',
]);
export type RunOutcome = z.infer<typeof RunOutcome>;

/** An active run in a host report. */
export interface ActiveRun {
  task: string;
  run: number;
  /** Latest checkpoint; empty if there is none. */
  checkpoint: string;
  /**
   * Percentage from 0 to 100: the share of full speed at which a long-running task works, or the
   * share of its work that any other task has completed.
   */
  percent: number;
  /** Tail latency in ms for a task with a latency target; otherwise the millicores in use. */
  load: number;
}

/** An ended run in a host report. */
export interface EndedRun {
  /** Sequence number of the end within this incarnation of the host, starting at 1. */
  sequence: number;
  task: string;
  run: number;
  outcome: RunOutcome;
  checkpoint: string;
}

/** Report of a host in response to a hold. */
export interface HostReport {
  /** Reading of the host's monotonic clock in ms. */
  clockMs: number;
  /** Start time of this incarnation, in ms since the Unix epoch; undefined if not reported. */
  startedAtMs: number | undefined;
  running: ActiveRun[];
  /** Unacknowledged ends in the order of their numbers, up to a maximum. */
  ended: EndedRun[];
  /** Further ends may follow once the host has received an acknowledgement of these. */
  hasMoreEnds: boolean;
}

/** The host to which an order is addressed. */
export interface HostTarget {
  /** Identifies the incarnation of the host; any other incarnation rejects the order. */
  id: string;
  address: string;
}

/** An order to start a task. */
export interface StartOrder {
  task: string;
  run: number;
  payload: string;
  /** Lease expiry on the host's monotonic clock, in ms; applies to every run on the host. */
  leaseEndMs: number;
  /** Fencing token of the shard's owner. */
  token: number;
  /** Checkpoint to resume from; empty to start from the beginning. */
  checkpoint: string;
  /** Ticket issued by the advice service, if the queue requires one. */
  ticket?: string;
}

/** An order to stop a run. */
export interface StopOrder {
  task: string;
  run: number;
  /** Fencing token of the shard's owner. */
  token: number;
}

/** An order to throttle a run. */
export interface PaceOrder extends StopOrder {
  /** CPU share of the run, from 0 to 100. */
  percent: number;
}

/** An order that renews the lease, acknowledges ended runs and requests a report. */
export interface HoldOrder {
  /** Fencing token of the shard's owner. */
  token: number;
  /** Ended runs up to this sequence number are acknowledged and omitted from later reports. */
  acknowledged: number;
  /** Lease expiry on the host's monotonic clock, in ms; undefined leaves the lease unchanged. */
  leaseEndMs?: number;
  /** Long polling: maximum time in ms that the host waits for a run to end before it responds. */
  waitMs: number;
}

/** Reason for which a host refused an order. */
export type OrderRefusal =
  /** The host has seen a higher fencing token. */
  | 'fenced'
  /** The run, or a later run of its task, was stopped or has ended on the host. */
  | 'superseded'
  /** The lease expiry of the order has passed. */
  | 'late'
  | 'no-room'
  /** The ticket of the advice service is missing or expired. */
  | 'no-ticket'
  | 'invalid'
  /** The host is unhealthy and did not carry out the order. */
  | 'unhealthy'
  /** Another incarnation of the host responded. */
  | 'other-life';

/** Response of a host to an order. */
export type OrderResponse =
  | { type: 'done'; clockMs: number | undefined }
  | { type: 'refused'; reason: OrderRefusal; clockMs: number | undefined };

/** Response of a host to a hold. */
export type HoldResponse =
  { type: 'report'; report: HostReport } | { type: 'refused'; reason: OrderRefusal };

/** Client for orders to upstream hosts. */
export abstract class HostOrders {
  abstract startRun(host: HostTarget, order: StartOrder): Promise<OrderResponse>;

  abstract stopRun(host: HostTarget, order: StopOrder): Promise<OrderResponse>;

  abstract paceRun(host: HostTarget, order: PaceOrder): Promise<OrderResponse>;

  abstract hold(host: HostTarget, order: HoldOrder): Promise<HoldResponse>;

  /**
   * Calls the health check of a host; the result may be wrong in either direction.
   *
   * @throws `OrderUnansweredError` or `OrderUnsentError` if no response was received.
   */
  abstract checkHealth(host: HostTarget, path: string): Promise<boolean>;

  /** Closes the connections to a host that is no longer used. */
  abstract closeConnections(host: HostTarget): void;

  abstract close(): Promise<void>;
}
