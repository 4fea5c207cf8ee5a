import { z } from 'zod';

/** Most tasks that one step may have; a larger count is refused as bad input. */
export const MAX_TASKS_PER_STEP = 10_000;
/** Most steps of one job. */
export const MAX_STEPS = 1_000;
/** Longest payload of a job in bytes, from the callers' interface. */
export const MAX_PAYLOAD_BYTES = 4_000;

const Amount = z.number().nonnegative().default(0);

/** One step of a job: tasks of equal needs that run when the steps before it are finished. */
export const StepSpec = z.object({
  count: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
  /** Processor share of one task in thousandths of a core. */
  cpuMilli: Amount,
  /** Memory of one task in MiB. */
  memoryMb: Amount,
  /** Accelerators of one task. */
  accelerators: Amount,
  /** The submitter's rough estimate of the run time of one task in ms. */
  estimateMs: Amount,
  /** Indexes of the earlier steps that must be finished first. */
  after: z.array(z.number().int().nonnegative()).default([]),
  /** The tasks save their progress and can resume from it. */
  checkpoints: z.boolean().default(false),
  /** The tasks work only together and end together. */
  gang: z.boolean().default(false),
  /** The tasks run slower when they are spread over more than one rack. */
  prefersOneRack: z.boolean().default(false),
  /** Label that a host must have. */
  requiredLabel: z.string().optional(),
  /** Rack that holds the data of the step; tasks run slower elsewhere. */
  dataRack: z.string().optional(),
  /** Most tasks of the step on one host. */
  maxPerHost: z.number().int().positive().optional(),
  /** Copies of a task may run at the same time; the first to finish counts. */
  allowsCopies: z.boolean().default(false),
  /** The tasks run until the job is cancelled and are restarted however they end. */
  isLasting: z.boolean().default(false),
  /** Software that the tasks run; tasks of one image behave alike. */
  image: z.string().optional(),
  /** Bound of the tail latency of a lasting task that serves users, in ms. */
  latencyTargetMs: z.number().positive().optional(),
  /** The tasks use the processor time that others leave idle; `cpuMilli` is not reserved. */
  usesIdleCpu: z.boolean().default(false),
  /** Lasting tasks that the system may take away at the same time. */
  mayMiss: z.number().int().positive().optional(),
});
export type StepSpec = z.infer<typeof StepSpec>;

/** When a job's steps run again: occurrence k is due at `startAtMs` + k * `intervalMs`. */
export const Repeat = z.object({
  count: z.number().int().positive(),
  /** Wall-clock time of the first occurrence, ms since 1970. */
  startAtMs: z.number(),
  intervalMs: z.number().nonnegative(),
});
export type Repeat = z.infer<typeof Repeat>;

/** A job as a caller submits it. */
export const JobSpec = z.object({
  /** Text that every start of a task hands to its host. */
  payload: z.string(),
  steps: z.array(StepSpec).min(1).max(MAX_STEPS),
  repeat: Repeat.optional(),
});
export type JobSpec = z.infer<typeof JobSpec>;
