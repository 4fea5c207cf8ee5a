import { createHash } from 'node:crypto';
import { CLOCK_SKEW_MS, KEY_MAX_AGE_MS } from '../fleet/mod.js';
import { ClaimBucket, type KeyWords } from './_ClaimBucket.js';
import type { ClaimChunk, ClaimCursor } from './ClaimChunk.js';
import type { IdempotencyKey } from './IdempotencyKey.js';

const HOUR_MS = 3_600_000;
const ENTRY_BYTES = 19;
/** The index of an owner is stored in 16 bits. */
const MAX_OWNERS = 65_535;

/**
 * State of a claim. `held`: it may have been granted. `failed`: it was never granted, and its owner
 * may claim the key again. `ran`: the job was answered.
 */
export const CLAIM_STATES = ['held', 'failed', 'ran'] as const;
export type ClaimState = (typeof CLAIM_STATES)[number];

/** A claim: the session that made it and its last known state. */
export interface Claim {
  owner: string;
  state: ClaimState;
}

/** Replaces the owner of a key that two sessions claimed. It never equals a session id. */
const DISPUTED_OWNER = '';

function splitKey(text: string): KeyWords {
  const bytes = Buffer.from(text.replaceAll('-', ''), 'hex');
  return [
    bytes.readUInt32BE(0),
    bytes.readUInt32BE(4),
    bytes.readUInt32BE(8),
    bytes.readUInt32BE(12),
  ];
}

function computeHour(words: KeyWords): number {
  return Math.floor((words[0] * 0x10000 + Math.floor(words[1] / 0x10000)) / HOUR_MS);
}

function hashEntries(entries: string): string {
  return createHash('sha256').update(entries).digest('hex');
}

function encodeEntry(bucket: ClaimBucket, index: number): Buffer {
  const entry = Buffer.alloc(ENTRY_BYTES);
  bucket.readKey(index).forEach((word, place) => entry.writeUInt32BE(word, place * 4));
  const { owner, state } = bucket.read(index);
  entry.writeUInt16BE(owner, 16);
  entry.writeUInt8(state, 18);
  return entry;
}

/**
 * The claims that a session knows, by key. Claims are kept until their keys are too old to be
 * accepted. A full table refuses new keys and evicts nothing.
 *
 * @example
 * ```ts
 * const table = new ClaimTable(2_000_000);
 * table.put(key, { owner: session, state: 'held' }); // true
 * table.find(key)?.owner; // session
 * ```
 */
export class ClaimTable {
  readonly #maxClaims: number;

  readonly #buckets = new Map<number, ClaimBucket>();

  readonly #owners: string[] = [];

  readonly #ownerIndex = new Map<string, number>();

  #count = 0;

  /** Keys created before this hour have been pruned. */
  #firstHour = -Infinity;

  constructor(maxClaims: number) {
    this.#maxClaims = maxClaims;
  }

  get count(): number {
    return this.#count;
  }

  /** Memory that the entries occupy, in bytes. */
  get bytes(): number {
    return [...this.#buckets.values()].reduce((sum, bucket) => sum + bucket.bytes, 0);
  }

  find(key: IdempotencyKey): Claim | undefined {
    const words = splitKey(key.text);
    const bucket = this.#buckets.get(computeHour(words));
    const index = bucket?.find(words) ?? -1;
    return bucket && index >= 0 ? this.#readClaim(bucket, index) : undefined;
  }

  /** Whether the claims of keys as old as this one have been pruned. */
  hasPruned(key: IdempotencyKey): boolean {
    return Math.floor(key.createdAt / HOUR_MS) < this.#firstHour;
  }

  /** Records or replaces the claim of a key; false if the table is full. */
  put(key: IdempotencyKey, claim: Claim): boolean {
    return this.#putWords(splitKey(key.text), claim);
  }

  /** Removes the claims of keys that are too old for any gateway. `now` is wall-clock time. */
  prune(now: number): void {
    const firstHour = Math.floor((now - KEY_MAX_AGE_MS - 2 * CLOCK_SKEW_MS) / HOUR_MS);
    if (firstHour <= this.#firstHour) return;
    this.#firstHour = firstHour;
    this.#buckets.forEach((bucket, hour) => {
      if (hour >= firstHour) return;
      this.#count -= bucket.count;
      this.#buckets.delete(hour);
    });
  }

  /**
   * Reads a part of the table from a cursor on. Entries keep their position, so a claim that is put
   * between two reads appears in a later part or replaces an entry in place.
   */
  readChunk(cursor: ClaimCursor, maxEntries: number): ClaimChunk {
    const hours = [...this.#buckets.keys()].filter((hour) => hour >= cursor.hour);
    hours.sort((a, b) => a - b);
    const encoded: Buffer[] = [];
    let next: ClaimCursor | null = null;
    hours.forEach((hour) => {
      const bucket = this.#buckets.get(hour);
      if (bucket === undefined || next !== null) return;
      let index = hour === cursor.hour ? cursor.index : 0;
      for (; index < bucket.count && encoded.length < maxEntries; index += 1) {
        encoded.push(encodeEntry(bucket, index));
      }
      if (index < bucket.count) next = { hour, index };
    });
    const entries = Buffer.concat(encoded).toString('base64');
    return { cursor, next, owners: [...this.#owners], entries, hash: hashEntries(entries) };
  }

  /**
   * Adds the claims from a part of another session's table. A claim in this table is never lost.
   *
   * @returns False if the part is damaged or the table is full.
   */
  mergeChunk(chunk: ClaimChunk): boolean {
    const bytes = Buffer.from(chunk.entries, 'base64');
    if (hashEntries(chunk.entries) !== chunk.hash || bytes.length % ENTRY_BYTES !== 0) return false;
    for (let at = 0; at < bytes.length; at += ENTRY_BYTES) {
      const words: KeyWords = [
        bytes.readUInt32BE(at),
        bytes.readUInt32BE(at + 4),
        bytes.readUInt32BE(at + 8),
        bytes.readUInt32BE(at + 12),
      ];
      const owner = chunk.owners[bytes.readUInt16BE(at + 16)];
      const state = CLAIM_STATES[bytes.readUInt8(at + 18)];
      if (owner === undefined || state === undefined) return false;
      if (!this.#mergeEntry(words, { owner, state })) return false;
    }
    return true;
  }

  #mergeEntry(words: KeyWords, claim: Claim): boolean {
    // A failed claim was never granted, so other sessions need not know it.
    if (claim.state === 'failed' || computeHour(words) < this.#firstHour) return true;
    const bucket = this.#buckets.get(computeHour(words));
    const index = bucket?.find(words) ?? -1;
    const existing = bucket && index >= 0 ? this.#readClaim(bucket, index) : undefined;
    if (existing === undefined || existing.state === 'failed') return this.#putWords(words, claim);
    if (existing.state === 'ran') return true;
    if (claim.state === 'ran' || existing.owner === claim.owner)
      return this.#putWords(words, claim);
    // Either of the two claims may have been granted, so neither owner may claim the key again.
    return this.#putWords(words, { owner: DISPUTED_OWNER, state: 'held' });
  }

  #putWords(words: KeyWords, claim: Claim): boolean {
    const hour = computeHour(words);
    let bucket = this.#buckets.get(hour);
    let index = bucket?.find(words) ?? -1;
    const owner = this.#registerOwner(claim.owner);
    if (owner === undefined) return false;
    if (index < 0) {
      if (this.#count >= this.#maxClaims || hour < this.#firstHour) return false;
      bucket ??= new ClaimBucket();
      this.#buckets.set(hour, bucket);
      index = bucket.add(words);
      this.#count += 1;
    }
    bucket?.write(index, owner, CLAIM_STATES.indexOf(claim.state));
    return true;
  }

  #registerOwner(session: string): number | undefined {
    const existing = this.#ownerIndex.get(session);
    if (existing !== undefined) return existing;
    if (this.#owners.length >= MAX_OWNERS) return undefined;
    this.#owners.push(session);
    this.#ownerIndex.set(session, this.#owners.length - 1);
    return this.#owners.length - 1;
  }

  #readClaim(bucket: ClaimBucket, index: number): Claim {
    const { owner, state } = bucket.read(index);
    return { owner: this.#owners[owner] ?? '', state: CLAIM_STATES[state] ?? 'held' };
  }
}
