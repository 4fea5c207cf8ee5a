import { z } from 'zod';

/** The log stream that holds the checkpoints. */
export const CHECKPOINT_STREAM = 'checkpoint';

/** One chunk of a checkpoint, which holds a slice of the compressed snapshot. */
export const CheckpointChunk = z.object({
  /** Checkpoint id, which distinguishes checkpoints that several writers append concurrently. */
  checkpoint: z.string().min(1),
  /** Offset of the next record to apply to the snapshot. */
  offset: z.number().int().nonnegative(),
  /** SHA-256 hash of the snapshot's JSON text, in hexadecimal. */
  hash: z.string(),
  /** Number of this chunk, starting at 1. */
  part: z.number().int().positive(),
  parts: z.number().int().positive(),
  /** Slice of the base64-encoded gzip data. */
  data: z.string(),
});
export type CheckpointChunk = z.infer<typeof CheckpointChunk>;

/** Identifies a checkpoint whose chunks are all present. */
export interface CheckpointInfo {
  checkpoint: string;
  offset: number;
  hash: string;
  /** Time at which the platform appended the last chunk, in milliseconds since the Unix epoch. */
  time: number;
}
