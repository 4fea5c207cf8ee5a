import {
  MachineProvider,
  type Machine,
  type MachineResponse,
  type MachineOrder,
} from '../port/mod.js';
import type { EmulatedFleet } from './EmulatedFleet.js';

/** A node's client for the emulated machine provider. */
export class MachineConnection extends MachineProvider {
  readonly #fleet: EmulatedFleet;

  constructor(fleet: EmulatedFleet) {
    super();
    this.#fleet = fleet;
  }

  override listMachines(): Promise<Machine[]> {
    return Promise.resolve(this.#fleet.listMachines());
  }

  override moveMachine(order: MachineOrder, pool: string): Promise<MachineResponse> {
    return Promise.resolve(this.#fleet.change(order, pool, undefined));
  }

  override maintainMachine(order: MachineOrder, wave: number): Promise<MachineResponse> {
    return Promise.resolve(this.#fleet.change(order, undefined, wave));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
