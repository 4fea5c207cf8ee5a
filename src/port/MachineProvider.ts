/** State of a machine as its provider lists it. */
export type MachineState = 'up' | 'moving' | 'maintenance' | 'down';

/** A machine, which carries one life of a host at a time. */
export interface Machine {
  name: string;
  pool: string;
  state: MachineState;
  dataCentre: string;
  /** Life of the host that it carries now; undefined for none. */
  hostId: string | undefined;
}

/** What the provider answered to an order about a machine. */
export type MachineResponse =
  | { type: 'done' }
  /** A higher token has been used for this machine. */
  | { type: 'fenced' }
  /** The machine is not up. */
  | { type: 'busy' }
  /** The machine does not belong to the wave, does not exist, or the pool does not fit. */
  | { type: 'invalid'; reason: string }
  /** Nothing was done; a later try may succeed. */
  | { type: 'refused'; reason: string };

/** An order about a machine. */
export interface MachineOrder {
  machine: string;
  /** Node that gives the order. */
  holder: string;
  token: number;
}

/** Lists, moves and maintains machines. */
export abstract class MachineProvider {
  /** Lists all machines. @throws when no complete list was received. */
  abstract listMachines(): Promise<Machine[]>;

  /**
   * Moves a machine to a pool; everything that runs on it ends.
   *
   * @throws `OrderUnansweredError` when the outcome is unknown.
   */
  abstract moveMachine(order: MachineOrder, pool: string): Promise<MachineResponse>;

  /** Begins the maintenance of a machine in a wave; everything that runs on it ends. */
  abstract maintainMachine(order: MachineOrder, wave: number): Promise<MachineResponse>;

  abstract close(): Promise<void>;
}
