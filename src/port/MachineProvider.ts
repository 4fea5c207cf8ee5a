/** State of a machine as reported by the provider. */
export type MachineState = 'up' | 'moving' | 'maintenance' | 'down';

/** A machine, which runs at most one incarnation of a host at a time. */
export interface Machine {
  name: string;
  pool: string;
  state: MachineState;
  dataCentre: string;
  /** Current host incarnation on the machine; undefined if there is none. */
  hostId: string | undefined;
}

/** Response of the provider to an order for a machine. */
export type MachineResponse =
  | { type: 'done' }
  /** A higher fencing token has been used for this machine. */
  | { type: 'fenced' }
  /** The machine is not up. */
  | { type: 'busy' }
  /** The machine does not exist or is not part of the wave, or the pool is not suitable. */
  | { type: 'invalid'; reason: string }
  /** Nothing was done; a retry may succeed. */
  | { type: 'refused'; reason: string };

/** An order for a machine. */
export interface MachineOrder {
  machine: string;
  /** Node that issues the order. */
  holder: string;
  /** Fencing token of the shard's owner. */
  token: number;
}

/** Client for the provider that lists, moves and maintains machines. */
export abstract class MachineProvider {
  /** Lists all machines. @throws if no complete list was received. */
  abstract listMachines(): Promise<Machine[]>;

  /**
   * Moves a machine to a pool, which ends every run on it.
   *
   * @throws `OrderUnansweredError` if the outcome is unknown.
   */
  abstract moveMachine(order: MachineOrder, pool: string): Promise<MachineResponse>;

  /** Starts the maintenance of a machine as part of a wave, which ends every run on it. */
  abstract maintainMachine(order: MachineOrder, wave: number): Promise<MachineResponse>;

  abstract close(): Promise<void>;
}
