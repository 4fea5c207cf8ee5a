import { z } from 'zod';
import { JobSpec } from '../task/mod.js';

/** An accepted job, under the key `job/ID`. Written by the node that accepts it. */
export const AcceptedJob = z.object({
  queue: z.string(),
  pool: z.string(),
  /** Rule of the queue, for the time after the queue has been removed. */
  rule: z.object({
    priority: z.number(),
    maxAttempts: z.number(),
    stretch: z.number(),
    latencyTargetMs: z.number(),
  }),
  /** Wall-clock time of the submission at the accepting node, ms since 1970. */
  submittedAtMs: z.number(),
  /** Data centre of the accepting node. */
  dataCentre: z.string().default(''),
  spec: JobSpec,
});
export type AcceptedJob = z.infer<typeof AcceptedJob>;

/** A cancelled job, under the key `cancel/ID`. */
export const Cancellation = z.object({ atMs: z.number() });
export type Cancellation = z.infer<typeof Cancellation>;

/** Progress of one step of an occurrence. */
export const StepProgress = z.object({
  /** Indexes of the finished tasks. */
  done: z.array(z.number().int().nonnegative()),
  /** Task index and the numbers of its failed runs. */
  failed: z.array(z.tuple([z.number(), z.array(z.number())])),
  /** Task index, number and host of the runs that were started, or were about to be. */
  started: z.array(z.tuple([z.number(), z.number(), z.string()])).default([]),
});
export type StepProgress = z.infer<typeof StepProgress>;

/** Progress of a job, under the key `progress/ID`. Written by the owner of the shard. */
export const JobProgress = z.object({
  token: z.number().int(),
  state: z.enum(['active', 'completed', 'failed', 'cancelled']),
  reason: z.string().optional(),
  /** Occurrences below this one are finished. */
  finishedBelow: z.number().int().nonnegative().default(0),
  /** Unfinished occurrences that have begun, by number. */
  occurrences: z.array(z.object({ number: z.number().int(), steps: z.array(StepProgress) })),
  /** Finished occurrences at or above `finishedBelow`. */
  finished: z.array(z.number().int()).default([]),
  /** When the state became final, ms since 1970. */
  endedAtMs: z.number().optional(),
});
export type JobProgress = z.infer<typeof JobProgress>;

/** Stands for every data centre, in lists of them. */
export const ANY_DATA_CENTRE = '*';

/** Who owns the shard, under the key `owner`. */
export const OwnerRecord = z.object({
  /** Rises by one with each claim; fences all orders of earlier owners. */
  token: z.number().int().positive(),
  node: z.string(),
  /** One run of the node's process. */
  session: z.string(),
  /** Data centre of the owner. */
  dataCentre: z.string().default(ANY_DATA_CENTRE),
  /** Data centres of whose jobs earlier owners may have started tasks without a record. */
  unrecorded: z.array(z.string()).default([ANY_DATA_CENTRE]),
  /** Offset up to which the owner had read the work log: it knows of the nodes before it. */
  readTo: z.number().int().nonnegative().default(0),
  /** The owner has handed the shard over. */
  isReleased: z.boolean().default(false),
});
export type OwnerRecord = z.infer<typeof OwnerRecord>;

/** A node of the system, under the key `node/NAME`. */
export const NodeRecord = z.object({
  session: z.string(),
  /** Address at which other nodes reach it. */
  address: z.string(),
  dataCentre: z.string(),
});
export type NodeRecord = z.infer<typeof NodeRecord>;

/** What the owner has done of a wave, under the key `wave/N`. */
export const WaveRecord = z.object({
  /** When an owner first saw the wave, ms since 1970. */
  seenAtMs: z.number(),
  /** Machines whose maintenance has begun. */
  begun: z.array(z.string()),
  isCompleted: z.boolean(),
});
export type WaveRecord = z.infer<typeof WaveRecord>;

/** The machines about which the owner has given orders a short while ago, under `machine-orders`. */
export const MachineOrders = z.object({
  orders: z.array(z.object({ machine: z.string(), ageMs: z.number().nonnegative() })),
});
export type MachineOrders = z.infer<typeof MachineOrders>;

/** Keys of the work log. */
export const WorkLogKey = {
  owner: 'owner',
  machineOrders: 'machine-orders',
  job: (id: string): string => `job/${id}`,
  cancel: (id: string): string => `cancel/${id}`,
  progress: (id: string): string => `progress/${id}`,
  node: (name: string): string => `node/${name}`,
  wave: (wave: number): string => `wave/${wave}`,
};
