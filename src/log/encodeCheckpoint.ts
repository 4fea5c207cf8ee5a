import { createHash } from 'node:crypto';
import { promisify } from 'node:util';
import { gzip } from 'node:zlib';
import type { CheckpointChunk } from './Checkpoint.js';

/** Keeps a chunk with its envelope below the 64 KiB limit of a log entry. */
const CHUNK_CHARACTERS = 60_000;

const compress = promisify(gzip);

/**
 * Compresses the JSON text of a snapshot and splits it into the log values of a checkpoint.
 *
 * Compression runs off the event loop.
 *
 * @example
 * ```ts
 * const values = await encodeCheckpoint(text, { checkpoint: 'c1', offset: 7 });
 * ```
 */
export async function encodeCheckpoint(
  text: string,
  options: { checkpoint: string; offset: number },
): Promise<string[]> {
  const hash = createHash('sha256').update(text).digest('hex');
  const data = (await compress(text)).toString('base64');
  const parts = Math.max(1, Math.ceil(data.length / CHUNK_CHARACTERS));
  return Array.from({ length: parts }, (_, index) => {
    const slice = data.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS);
    const chunk: CheckpointChunk = { ...options, hash, part: index + 1, parts, data: slice };
    return JSON.stringify(chunk);
  });
}
