import { MachineDesk, type Machine, type MachineAnswer, type MachineOrder } from '../port/mod.js';
import type { EmulatedFleet } from './EmulatedFleet.js';

/** The machine desk of one node. */
export class MachineConnection extends MachineDesk {
  readonly #fleet: EmulatedFleet;

  constructor(fleet: EmulatedFleet) {
    super();
    this.#fleet = fleet;
  }

  override listMachines(): Promise<Machine[]> {
    return Promise.resolve(this.#fleet.listMachines());
  }

  override moveMachine(order: MachineOrder, pool: string): Promise<MachineAnswer> {
    return Promise.resolve(this.#fleet.change(order, pool, undefined));
  }

  override maintainMachine(order: MachineOrder, wave: number): Promise<MachineAnswer> {
    return Promise.resolve(this.#fleet.change(order, undefined, wave));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
