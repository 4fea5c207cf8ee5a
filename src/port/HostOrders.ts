import { z } from 'zod';

/** How a run ended. */
export const RunOutcome = z.enum([
  'done',
  /** By its own fault or the host's. */
  'failed',
  'stopped',
  /** Its lease expired. */
  'expired',
  /** Another member of its gang ended. */
  'gang-broken',
  /** The other members of its gang did not come in time. */
  'gang-incomplete',
]);
export type RunOutcome = z.infer<typeof RunOutcome>;

/** A run that a host lists as present. */
export interface ActiveRun {
  task: string;
  run: number;
  /** Saved progress; empty for none. */
  checkpoint: string;
  /**
   * Of a lasting task how much of its work speed it has, of another how much of its work is done,
   * 0 to 100.
   */
  percent: number;
  /** Tail latency in ms for a task with a latency target, else thousandths of a core in use. */
  load: number;
}

/** A run that a host lists as ended. */
export interface EndedRun {
  /** Number of the end in this life of the host, from 1. */
  sequence: number;
  task: string;
  run: number;
  outcome: RunOutcome;
  checkpoint: string;
}

/** What a host said in answer to a hold. */
export interface HostReport {
  /** The host's steady clock in ms. */
  clockMs: number;
  /** When this life of the host began, ms since 1970; undefined when it did not say. */
  startedAtMs: number | undefined;
  running: ActiveRun[];
  ended: EndedRun[];
}

/** The host that an order is meant for. */
export interface HostTarget {
  /** Names the life of the host; another life refuses the order. */
  id: string;
  address: string;
}

/** An order to start a task. */
export interface StartOrder {
  task: string;
  run: number;
  payload: string;
  /** Time on the host's clock until which everything on it may run. */
  leaseEndMs: number;
  token: number;
  /** Empty to start from the beginning. */
  checkpoint: string;
  /** Permission of the advice service, where the queue needs one. */
  ticket?: string;
}

/** An order to stop a run. */
export interface StopOrder {
  task: string;
  run: number;
  token: number;
}

/** An order to change the share of the processor that a run gets. */
export interface PaceOrder extends StopOrder {
  percent: number;
}

/** Extends the lease, acknowledges ends and asks what runs. */
export interface HoldOrder {
  token: number;
  /** Ends up to this number need not be listed again. */
  acknowledged: number;
  /** Undefined leaves the lease as it is. */
  leaseEndMs?: number;
  /** Longest time in ms that the host waits for an end before it answers. */
  waitMs: number;
}

/** Why a host refused an order. */
export type OrderRefusal =
  /** It has seen a higher token. */
  | 'fenced'
  /** The run, or a later one of its task, was stopped or has ended there. */
  | 'superseded'
  /** The lease of the order has passed. */
  | 'late'
  | 'no-room'
  /** The advice service's permission is missing or has expired. */
  | 'no-ticket'
  | 'invalid'
  /** The host is unhealthy and did nothing. */
  | 'unhealthy'
  /** Another life of the host answered. */
  | 'other-life';

/** What a host answered to an order. */
export type OrderResponse =
  | { type: 'done'; clockMs: number | undefined }
  | { type: 'refused'; reason: OrderRefusal; clockMs: number | undefined };

/** What a host answered to a hold. */
export type HoldResponse =
  { type: 'report'; report: HostReport } | { type: 'refused'; reason: OrderRefusal };

/** Orders to the upstream hosts. */
export abstract class HostOrders {
  abstract startRun(host: HostTarget, order: StartOrder): Promise<OrderResponse>;

  abstract stopRun(host: HostTarget, order: StopOrder): Promise<OrderResponse>;

  abstract paceRun(host: HostTarget, order: PaceOrder): Promise<OrderResponse>;

  abstract hold(host: HostTarget, order: HoldOrder): Promise<HoldResponse>;

  /**
   * Asks a host whether it considers itself healthy; the answer may be false either way.
   *
   * @throws `OrderUnansweredError` or `OrderUnsentError` when no answer came.
   */
  abstract checkHealth(host: HostTarget, path: string): Promise<boolean>;

  /** Closes the connections to a host that is not used any more. */
  abstract closeConnections(host: HostTarget): void;

  abstract close(): Promise<void>;
}
