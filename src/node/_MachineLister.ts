import type { MachineProvider } from '../port/mod.js';
import type { Shard } from '../schedule/mod.js';
import type { NodeContext } from './NodeContext.js';

/** Interval in ms at which the machines are listed while the list is needed. */
const MACHINE_LIST_INTERVAL_MS = 600;

/** The machines that the platform has listed. */
type Machines = Awaited<ReturnType<MachineProvider['listMachines']>>;

/** Lists the machines while the shard needs the list, one call at a time. */
export class MachineLister {
  readonly #context: NodeContext;

  readonly #onList: (machines: Machines, listedAt: number) => void;

  #isListing = false;

  #listedAt = -Infinity;

  /** @param onList Receives the machines and the monotonic time in ms at which they were requested. */
  constructor(context: NodeContext, onList: (machines: Machines, listedAt: number) => void) {
    this.#context = context;
    this.#onList = onList;
  }

  /** Lists the machines if the shard needs them and the last list is old enough. */
  listIfNeeded(shard: Shard): void {
    const now = this.#context.clock.readMonotonic();
    if (this.#isListing || now - this.#listedAt < MACHINE_LIST_INTERVAL_MS) return;
    if (!shard.needsMachineList) return;
    this.#isListing = true;
    this.#listedAt = now;
    this.#context.machines.listMachines().then(
      (machines) => {
        this.#isListing = false;
        this.#onList(machines, now);
      },
      (error: unknown) => {
        this.#isListing = false;
        this.#context.log.record('machines-unread', 'list', { error: String(error) });
      },
    );
  }
}
