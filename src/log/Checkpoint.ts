import { z } from 'zod';

/** The stream that holds the checkpoints. */
export const CHECKPOINT_STREAM = 'checkpoint';

/** One part of a checkpoint: a slice of the compressed snapshot. */
export const CheckpointChunk = z.object({
  /** Tells the checkpoints of several writers apart. */
  checkpoint: z.string().min(1),
  /** Offset of the next record to fold after the snapshot. */
  offset: z.number().int().nonnegative(),
  /** SHA-256 of the snapshot's JSON text, in hexadecimal. */
  hash: z.string(),
  /** Counts from 1. */
  part: z.number().int().positive(),
  parts: z.number().int().positive(),
  /** Slice of the gzip data in base64. */
  data: z.string(),
});
export type CheckpointChunk = z.infer<typeof CheckpointChunk>;

/** What identifies a complete checkpoint. */
export interface CheckpointInfo {
  checkpoint: string;
  offset: number;
  hash: string;
  /** Platform time of its last chunk, in milliseconds. */
  time: number;
}
