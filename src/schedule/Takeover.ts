import type { RecentMachineOrder } from './RecentMachineOrders.js';

/** Circumstances under which an owner took over a shard. */
export interface Takeover {
  /** Fencing token of the owner. */
  token: number;
  /** Offset of the claim; previous owners have not seen jobs accepted after it. */
  claimOffset: number;
  /** The shard has had no owner before. */
  isFirst: boolean;
  /** The previous owner released the shard, so it issues no more orders. */
  isHandover: boolean;
  /** Sequence number of the claim in the store; the owner's appends continue from it. */
  sequence: number;
  /** Data centres whose jobs may have tasks that previous owners started without recording them. */
  unrecorded: readonly string[];
  /** Orders for machines that previous owners may have issued recently. */
  machineOrders: readonly RecentMachineOrder[];
}
