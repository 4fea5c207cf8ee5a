import type { Shard } from '../schedule/mod.js';
import type { MachineCommand, StartCommand } from './_CommandExecutor.js';
import type { StartPermit } from './StartPolicy.js';

/**
 * Orders of an owner that wait until the store has recorded them, so that a successor knows of them.
 *
 * Starts of an owner that is out of contact with the store may be permitted without a record.
 */
export class PendingOrders {
  readonly #shard: Shard;

  readonly #dataCentre: string;

  #permit: StartPermit = { isRecorded: true, rule: 'all' };

  /** Starts that are not recorded yet and therefore not ordered yet. */
  #unrecordedStarts: StartCommand[] = [];

  /** Starts that the append in flight records. */
  #startsBeingRecorded: StartCommand[] = [];

  /** Machine orders that are not recorded yet and therefore not sent yet. */
  #unrecordedMachineOrders: MachineCommand[] = [];

  constructor(shard: Shard, dataCentre: string) {
    this.#shard = shard;
    this.#dataCentre = dataCentre;
  }

  get permit(): StartPermit {
    return this.#permit;
  }

  get hasStarts(): boolean {
    return this.#unrecordedStarts.length > 0;
  }

  /** There are orders that no append in flight records. */
  get hasUnrecorded(): boolean {
    return this.hasStarts || this.#unrecordedMachineOrders.length > 0;
  }

  /** Sets the permit; returns the waiting starts if they are now decided without a record. */
  setPermit(permit: StartPermit): StartCommand[] {
    this.#permit = permit;
    this.#shard.setStartRule(permit.rule);
    if (permit.isRecorded) return [];
    const starts = [...this.#startsBeingRecorded.splice(0), ...this.#unrecordedStarts.splice(0)];
    return this.#takeWanted(starts);
  }

  /** Adds a start; returns false if it may be ordered without a record. */
  addStart(start: StartCommand): boolean {
    if (this.#canStartUnrecorded(start)) return false;
    this.#unrecordedStarts.push(start);
    return true;
  }

  addMachineOrder(order: MachineCommand): void {
    this.#unrecordedMachineOrders.push(order);
  }

  /** Takes the orders that the next append records; returns its machine orders. */
  takeUnrecorded(): MachineCommand[] {
    this.#startsBeingRecorded = this.#unrecordedStarts.splice(0);
    return this.#unrecordedMachineOrders.splice(0);
  }

  /** Takes the recorded starts that are still wanted, and cancels the others. */
  takeRecordedStarts(): StartCommand[] {
    return this.#takeWanted(this.#startsBeingRecorded.splice(0));
  }

  /** Puts recorded orders back, which must be recorded again before they are sent. */
  restoreRecorded(machineOrders: readonly MachineCommand[]): void {
    this.#unrecordedStarts.unshift(...this.#startsBeingRecorded.splice(0));
    this.#unrecordedMachineOrders.unshift(...machineOrders);
  }

  #canStartUnrecorded({ run }: StartCommand): boolean {
    const { isRecorded, rule } = this.#permit;
    if (isRecorded) return false;
    const { dataCentres } = run.unit.step.occurrence.job.tracked;
    return rule === 'all' || dataCentres.includes(this.#dataCentre);
  }

  #takeWanted(starts: readonly StartCommand[]): StartCommand[] {
    return starts.filter(({ run }) => {
      const isWanted = run.state === 'starting';
      if (!isWanted) this.#shard.cancelStart(run);
      return isWanted;
    });
  }
}
