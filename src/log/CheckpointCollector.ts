import { createHash } from 'node:crypto';
import { setImmediate as yieldTurn } from 'node:timers/promises';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import type { LogEntry } from '../record/mod.js';
import { CheckpointChunk, type CheckpointInfo } from './Checkpoint.js';

const decompress = promisify(gunzip);
/** About ten times the state at the design size. Bounds the expansion of corrupted data. */
const MAX_TEXT_BYTES = 256 * 1024 * 1024;
/**
 * Number of newest checkpoints to keep, counted separately for complete and incomplete ones.
 * Restoring falls back on an older checkpoint when a newer one is corrupted.
 */
const MAX_KEPT_CHECKPOINTS = 3;

interface CollectedCheckpoint {
  info: CheckpointInfo;
  slices: (string | undefined)[];
}

function parseChunk(value: string): CheckpointChunk | undefined {
  try {
    return CheckpointChunk.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

function isComplete({ slices }: CollectedCheckpoint): boolean {
  return !slices.includes(undefined);
}

async function decodeCheckpoint({
  info,
  slices,
}: CollectedCheckpoint): Promise<string | undefined> {
  const data = Buffer.from(slices.join(''), 'base64');
  try {
    const text = await decompress(data, { maxOutputLength: MAX_TEXT_BYTES });
    const hash = createHash('sha256').update(text).digest('hex');
    await yieldTurn();
    return hash === info.hash ? text.toString('utf8') : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Collects checkpoint chunks in stream order and restores the newest valid checkpoint.
 *
 * Corrupted chunks are skipped. A checkpoint with a missing chunk is never restored.
 */
export class CheckpointCollector {
  #checkpoints = new Map<string, CollectedCheckpoint>();

  /** Adds a stream entry and returns the checkpoint that it completes, if any. */
  add(entry: LogEntry): CheckpointInfo | undefined {
    const chunk = parseChunk(entry.value);
    if (chunk === undefined || chunk.part > chunk.parts) return undefined;
    const { checkpoint, offset, hash, part, parts, data } = chunk;
    const collected = this.#checkpoints.get(checkpoint) ?? {
      info: { checkpoint, offset, hash, time: entry.time },
      slices: new Array<string | undefined>(parts).fill(undefined),
    };
    const { info, slices } = collected;
    if (info.hash !== hash || slices.length !== parts || slices[part - 1] !== undefined) {
      return undefined;
    }
    slices[part - 1] = data;
    info.time = entry.time;
    this.#checkpoints.set(checkpoint, collected);
    this.#prune();
    return isComplete(collected) ? info : undefined;
  }

  /** Returns the snapshot of the newest complete checkpoint whose hash matches, as parsed JSON. */
  async restore(): Promise<unknown> {
    const complete = this.#listComplete().reverse();
    for (const collected of complete) {
      const text = await decodeCheckpoint(collected);
      await yieldTurn();
      if (text !== undefined) return JSON.parse(text);
    }
    return undefined;
  }

  /**
   * Decodes a checkpoint to the JSON text of its snapshot. Returns `undefined` if chunks are
   * missing or the hash does not match.
   */
  async decode(info: CheckpointInfo): Promise<string | undefined> {
    const collected = this.#checkpoints.get(info.checkpoint);
    return collected && isComplete(collected) ? decodeCheckpoint(collected) : undefined;
  }

  #listComplete(): CollectedCheckpoint[] {
    return [...this.#checkpoints.values()]
      .filter(isComplete)
      .sort((a, b) => a.info.offset - b.info.offset);
  }

  #prune(): void {
    const complete = this.#listComplete();
    complete
      .slice(0, -MAX_KEPT_CHECKPOINTS)
      .forEach(({ info }) => this.#checkpoints.delete(info.checkpoint));
    // Incomplete checkpoints are bounded too. The oldest ones come from writers that have stopped.
    const incomplete = [...this.#checkpoints.values()].filter(
      (collected) => !isComplete(collected),
    );
    incomplete
      .slice(0, -MAX_KEPT_CHECKPOINTS)
      .forEach(({ info }) => this.#checkpoints.delete(info.checkpoint));
  }
}
