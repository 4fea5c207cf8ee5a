import { z } from 'zod';

/** Maximum number of tasks in a step; a larger count is rejected as invalid input. */
export const MAX_TASKS_PER_STEP = 10_000;
/** Maximum number of tasks of all steps of a job; each costs the nodes some bits and bytes. */
export const MAX_TASKS_PER_JOB = 1_000_000;
/** Number of tasks of a job that run at the same time, which limits its long-running tasks. */
export const MAX_CONCURRENT_TASKS_PER_JOB = 20_000;
/** Maximum number of steps in a job. */
export const MAX_STEPS = 1_000;
/** Maximum size of a job's payload in bytes, as defined by the callers' API. */
export const MAX_PAYLOAD_BYTES = 4_000;

const Amount = z.number().nonnegative().default(0);

/** One step of a job: tasks with equal requirements that run after the steps it depends on. */
export const StepSpec = z.object({
  count: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
  /** CPU request of one task in millicores. */
  cpuMilli: Amount,
  /** Memory request of one task in MiB. */
  memoryMb: Amount,
  /** Number of accelerators that one task requests. */
  accelerators: Amount,
  /** Rough estimate by the submitter of the run time of one task, in ms. */
  estimateMs: Amount,
  /** Indexes of the earlier steps that this one depends on. */
  after: z.array(z.number().int().nonnegative()).default([]),
  /** The tasks write checkpoints and can resume from them. */
  checkpoints: z.boolean().default(false),
  /** Gang scheduling: the tasks run only together, and the end of one ends the others. */
  gang: z.boolean().default(false),
  /** The tasks run slower when they are spread across racks. */
  prefersOneRack: z.boolean().default(false),
  /** Label required of a host. */
  requiredLabel: z.string().optional(),
  /** Rack that holds the input data of the step; tasks run slower elsewhere. */
  dataRack: z.string().optional(),
  /** Maximum number of tasks of the step on one host. */
  maxPerHost: z.number().int().positive().optional(),
  /** Allows speculative execution: of several concurrent copies, the first to finish counts. */
  allowsCopies: z.boolean().default(false),
  /** Long-running tasks: they run until the job is cancelled and are restarted whenever they end. */
  isLasting: z.boolean().default(false),
  /** Software image of the tasks; tasks with the same image behave alike. */
  image: z.string().optional(),
  /** Tail latency target in ms of a long-running task that serves users. */
  latencyTargetMs: z.number().positive().optional(),
  /** Best effort: the tasks use CPU time left idle by others, and `cpuMilli` is not reserved. */
  usesIdleCpu: z.boolean().default(false),
  /** Disruption budget: how many long-running tasks the system may interrupt at the same time. */
  mayMiss: z.number().int().positive().optional(),
});
export type StepSpec = z.infer<typeof StepSpec>;

/** Recurrence of a job: occurrence k is due at `startAtMs` + k * `intervalMs`. */
export const Repeat = z.object({
  count: z.number().int().positive(),
  /** Time of the first occurrence, in ms since the Unix epoch. */
  startAtMs: z.number(),
  intervalMs: z.number().nonnegative(),
});
export type Repeat = z.infer<typeof Repeat>;

/** A job as submitted by a caller. */
export const JobSpec = z.object({
  /** Opaque text that is passed to the host with every start of a task. */
  payload: z.string(),
  steps: z.array(StepSpec).min(1).max(MAX_STEPS),
  repeat: Repeat.optional(),
});
export type JobSpec = z.infer<typeof JobSpec>;
