import { createHash } from 'node:crypto';
import { z } from 'zod';
import { QueueConfig } from '../port/mod.js';
import { JobSpec } from '../task/mod.js';

/**
 * An accepted job, stored under `accepted-job/ID/DATA-CENTRE` by the node that accepted it, or under
 * `accepted-job/ID/DATA-CENTRE/ORGANISATION` if the submission carried a key.
 *
 * The store keeps only the newest record of each key. A job that is submitted again in another data
 * centre gets a second record, so that every reader knows all data centres of the job. Earlier
 * versions stored it under `job/ID`.
 */
export const AcceptedJob = z.object({
  queue: z.string(),
  pool: z.string(),
  /** Settings of the queue, kept with the job for when the queue has been removed. */
  rule: z.object({
    priority: z.number(),
    maxAttempts: z.number(),
    stretch: z.number(),
    latencyTargetMs: z.number(),
    /** Without it, hosts refuse the tasks of a queue whose steps need the advice service's tickets. */
    advice: QueueConfig.shape.advice,
  }),
  /** Submission time at the accepting node, in ms since the Unix epoch. */
  submittedAtMs: z.number(),
  /** Data centre of the accepting node. */
  dataCentre: z.string().default(''),
  /** Organisation whose key the submission carried; undefined if it needed none. */
  organisation: z.string().optional(),
  spec: JobSpec,
});
export type AcceptedJob = z.infer<typeof AcceptedJob>;

/**
 * The cancellation of a job, stored under `cancel/ID`; under `cancel/ID/QUEUE` by a node that does
 * not know the job, followed by `/ORGANISATION` if the call carried a key. Its write may still be open in another node or in the store: the cancellation
 * then precedes the job and applies if the job belongs to that queue.
 */
export const Cancellation = z.object({ atMs: z.number() });
export type Cancellation = z.infer<typeof Cancellation>;

const TaskIndex = z.number().int().nonnegative();

/** Progress of one step of an occurrence. */
export const StepProgress = z.object({
  /** Indexes of the completed tasks, or pairs of the first and the last index of a range. */
  done: z.array(z.union([TaskIndex, z.tuple([TaskIndex, TaskIndex])])),
  /** Pairs of a task index and the numbers of its failed runs. */
  failed: z.array(z.tuple([z.number(), z.array(z.number())])),
  /** Task index, run number and host of each run that was started or was about to be started. */
  started: z.array(z.tuple([z.number(), z.number(), z.string()])).default([]),
});
export type StepProgress = z.infer<typeof StepProgress>;

/** Progress of a job, stored under `progress/ID` by the owner of the shard. */
export const JobProgress = z.object({
  /** Fencing token of the owner that wrote the record. */
  token: z.number().int(),
  state: z.enum(['active', 'completed', 'failed', 'cancelled']),
  /**
   * A host has started at least one task. A record that precedes the first start order does not tell
   * yet; records of older versions do not tell at all and count as begun.
   */
  hasBegun: z.boolean().default(true),
  reason: z.string().optional(),
  /** All occurrences below this number are finished. */
  finishedBelow: z.number().int().nonnegative().default(0),
  /** The occurrences are described by `ProgressPart` records instead. */
  isSplit: z.boolean().optional(),
  /** Occurrences that have started and are not finished. */
  occurrences: z.array(z.object({ number: z.number().int(), steps: z.array(StepProgress) })),
  /** Numbers of the finished occurrences from `finishedBelow` on. */
  finished: z.array(z.number().int()).default([]),
  /** When the state became final, in ms since the Unix epoch. */
  endedAtMs: z.number().optional(),
});
export type JobProgress = z.infer<typeof JobProgress>;

/** Occurrence and number of a part of the progress of a job. */
export const ProgressPartId = z.object({
  occurrence: z.number().int().nonnegative(),
  part: z.number().int().nonnegative(),
});
export type ProgressPartId = z.infer<typeof ProgressPartId>;

/**
 * Progress of some tasks of an occurrence, stored under `progress-part/ID/OCCURRENCE/PART` by the
 * owner. A job whose progress does not fit into one record has such parts. The parts of finished
 * occurrences are removed after the record that says so.
 */
export const ProgressPart = ProgressPartId.extend({
  steps: z.array(StepProgress.extend({ step: z.number().int().nonnegative() })),
});
export type ProgressPart = z.infer<typeof ProgressPart>;

/** Wildcard for all data centres, in lists of data centres. */
export const ANY_DATA_CENTRE = '*';

/** The node to which a stopping owner hands the shard over, and the run of its process. */
export const Successor = z.object({ node: z.string(), session: z.string() });
export type Successor = z.infer<typeof Successor>;

/** The current owner of the shard, stored under `owner`. */
export const OwnerRecord = z.object({
  /** Fencing token: incremented with each claim, it invalidates the orders of earlier owners. */
  token: z.number().int().positive(),
  node: z.string(),
  /** Identifies one run of the node's process. */
  session: z.string(),
  /** Data centre of the owner. */
  dataCentre: z.string().default(ANY_DATA_CENTRE),
  /** Data centres whose jobs may have tasks that earlier owners started without recording them. */
  unrecorded: z.array(z.string()).default([ANY_DATA_CENTRE]),
  /** Offset up to which the owner had read the work log; it knows the nodes registered before. */
  readTo: z.number().int().nonnegative().default(0),
  /**
   * Time in ms between two records of the owner, as far as its process or the store is slow; it
   * counts as silent only after a multiple of it.
   */
  intervalMs: z.number().nonnegative().max(60_000).default(0),
  /** Latency in ms of recent appends of the owner; others wait the longer for its effects. */
  storeLatencyMs: z.number().nonnegative().max(60_000).default(0),
  /** The owner has released the shard. */
  isReleased: z.boolean().default(false),
  /** The node that claims a released shard first; undefined if the owner knows none. */
  successor: Successor.optional(),
});
export type OwnerRecord = z.infer<typeof OwnerRecord>;

/** A node of the system, stored under `node/NAME`. */
export const NodeRecord = z.object({
  session: z.string(),
  /** Address under which other nodes reach the node. */
  address: z.string(),
  dataCentre: z.string(),
  /** Processor share of the node in cores; records of older versions lack it. */
  cores: z.number().positive().optional(),
});
export type NodeRecord = z.infer<typeof NodeRecord>;

/** Progress of a maintenance wave, stored under `wave/N` by the owner. */
export const WaveRecord = z.object({
  /** When an owner first saw the wave, in ms since the Unix epoch. */
  seenAtMs: z.number(),
  /** Machines whose maintenance has started. */
  begun: z.array(z.string()),
  /** Machines whose maintenance has been ordered and has not been accepted yet. */
  ordered: z.array(z.string()).default([]),
  isCompleted: z.boolean(),
});
export type WaveRecord = z.infer<typeof WaveRecord>;

/** Machines for which the owner has recently issued orders, stored under `machine-orders`. */
export const MachineOrders = z.object({
  orders: z.array(
    z.object({
      machine: z.string(),
      ageMs: z.number().nonnegative(),
      /** The order had no outcome yet, so it may be sent until the owner has been replaced. */
      isOpen: z.boolean().optional(),
    }),
  ),
});
export type MachineOrders = z.infer<typeof MachineOrders>;

/**
 * The pools in which the owner has no capacity left, stored under `pool-load`. The owner writes it
 * only when it changes or its validity ends.
 */
export const PoolLoadRecord = z.object({
  /** Fencing token of the owner that wrote the record. */
  token: z.number().int(),
  /** Names of the pools that have no capacity left. */
  fullPools: z.array(z.string()),
  /** When the owner decided it, in ms since the Unix epoch. */
  atMs: z.number(),
  /** Time in ms for which the record is valid. */
  validMs: z.number().nonnegative(),
});
export type PoolLoadRecord = z.infer<typeof PoolLoadRecord>;

/** Maximum length of an organisation's name in a key; the store accepts keys of up to 255 bytes. */
const MAX_ENCODED_LENGTH = 64;
/** Length of the hash that stands for a longer name, in hexadecimal digits (128 bits). */
const HASH_LENGTH = 32;

function toSuffix(organisation: string | undefined): string {
  if (organisation === undefined) return '';
  const encoded = encodeURIComponent(organisation);
  if (encoded.length <= MAX_ENCODED_LENGTH) return `/${encoded}`;
  const hash = createHash('sha256').update(organisation).digest('hex').slice(0, HASH_LENGTH);
  // An encoded name contains no "=", so it never equals a hash.
  return `/=${hash}`;
}

/** Finds the job to whose progress a key belongs; undefined for other keys. */
export function findProgressJob(key: string): string | undefined {
  const [kind, id] = key.split('/', 2);
  return kind === 'progress' || kind === 'progress-part' ? id : undefined;
}

/** Keys of the work log. */
export const WorkLogKey = {
  owner: 'owner',
  machineOrders: 'machine-orders',
  poolLoad: 'pool-load',
  /** The organisation is part of the key, so that another one cannot replace the record. */
  job: (id: string, dataCentre: string, organisation?: string): string =>
    `accepted-job/${id}/${dataCentre}${toSuffix(organisation)}`,
  /** Prefix of the keys of all records that accept a job, of any organisation. */
  jobPrefix: (id: string): string => `accepted-job/${id}/`,
  cancel: (id: string): string => `cancel/${id}`,
  /** Prefix of the keys of all cancellations by nodes that do not know the job. */
  earlyCancelPrefix: (id: string): string => `cancel/${id}/`,
  /** Cancellation by a node that does not know the job, for a job of the caller's organisation. */
  earlyCancel: (id: string, queue: string, organisation?: string): string =>
    `cancel/${id}/${queue}${toSuffix(organisation)}`,
  progress: (id: string): string => `progress/${id}`,
  progressPart: (id: string, { occurrence, part }: ProgressPartId): string =>
    `progress-part/${id}/${occurrence}/${part}`,
  node: (name: string): string => `node/${name}`,
  wave: (wave: number): string => `wave/${wave}`,
};
