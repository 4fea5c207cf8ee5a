import { createHash } from 'node:crypto';
import { setImmediate as yieldTurn } from 'node:timers/promises';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import type { LogEntry } from '../record/mod.js';
import { CheckpointChunk, type CheckpointInfo } from './Checkpoint.js';

const decompress = promisify(gunzip);
/** About ten times the state of the design size; bounds what a damaged chunk can expand to. */
const MAX_TEXT_BYTES = 256 * 1024 * 1024;
/** Newest checkpoints that are kept; one damaged or half-written can hide no more than one. */
const KEPT = 3;

interface Gathering {
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

function isComplete({ slices }: Gathering): boolean {
  return !slices.includes(undefined);
}

async function decodeGathering({ info, slices }: Gathering): Promise<string | undefined> {
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
 * Collects the chunks of checkpoints in the order of the stream and restores the newest sound one.
 *
 * Damaged chunks are skipped. A checkpoint that lacks a chunk is never restored.
 */
export class CheckpointCollector {
  #gatherings = new Map<string, Gathering>();

  /** Adds an entry of the stream; returns the checkpoint that it completes, if it does. */
  add(entry: LogEntry): CheckpointInfo | undefined {
    const chunk = parseChunk(entry.value);
    if (chunk === undefined || chunk.part > chunk.parts) return undefined;
    const { checkpoint, offset, hash, part, parts, data } = chunk;
    const gathering = this.#gatherings.get(checkpoint) ?? {
      info: { checkpoint, offset, hash, time: entry.time },
      slices: new Array<string | undefined>(parts).fill(undefined),
    };
    const { info, slices } = gathering;
    if (info.hash !== hash || slices.length !== parts || slices[part - 1] !== undefined) {
      return undefined;
    }
    slices[part - 1] = data;
    info.time = entry.time;
    this.#gatherings.set(checkpoint, gathering);
    this.#prune();
    return isComplete(gathering) ? info : undefined;
  }

  /** Returns the snapshot of the newest complete checkpoint whose hash fits, as parsed JSON. */
  async restore(): Promise<unknown> {
    const complete = this.#listComplete().reverse();
    for (const gathering of complete) {
      const text = await decodeGathering(gathering);
      await yieldTurn();
      if (text !== undefined) return JSON.parse(text);
    }
    return undefined;
  }

  /** Decodes a checkpoint to the JSON text of its snapshot; undefined if it does not fit its hash. */
  async decode(info: CheckpointInfo): Promise<string | undefined> {
    const gathering = this.#gatherings.get(info.checkpoint);
    return gathering && isComplete(gathering) ? decodeGathering(gathering) : undefined;
  }

  #listComplete(): Gathering[] {
    return [...this.#gatherings.values()]
      .filter(isComplete)
      .sort((a, b) => a.info.offset - b.info.offset);
  }

  #prune(): void {
    const complete = this.#listComplete();
    complete.slice(0, -KEPT).forEach(({ info }) => this.#gatherings.delete(info.checkpoint));
    // Half-written checkpoints are bounded as well; the oldest are those whose writer has ended.
    const rest = [...this.#gatherings.values()].filter((one) => !isComplete(one));
    rest.slice(0, -KEPT).forEach(({ info }) => this.#gatherings.delete(info.checkpoint));
  }
}
