/* eslint-disable no-bitwise -- the hash function needs bitwise operators. */
/** Claims for keys created in one hour, stored in typed arrays at a few dozen bytes per claim. */

const WORDS_PER_KEY = 4;
const SEGMENT_ENTRIES = 1_024;
const INITIAL_SLOTS = 64;
/** Above this load factor, the probe sequences of the hash index become long. */
const MAX_LOAD_FACTOR = 0.7;

/** The 128 bits of a key. */
export type KeyWords = readonly [number, number, number, number];

interface Segment {
  words: Uint32Array;
  owners: Uint16Array;
  states: Uint8Array;
}

/** Hash table that keeps entries in insertion order, so that an index stays valid as a cursor. */
export class ClaimBucket {
  readonly #segments: Segment[] = [];

  #slots = new Uint32Array(INITIAL_SLOTS);

  #count = 0;

  get count(): number {
    return this.#count;
  }

  get bytes(): number {
    const segmentBytes = SEGMENT_ENTRIES * (WORDS_PER_KEY * 4 + 2 + 1);
    return this.#slots.byteLength + this.#segments.length * segmentBytes;
  }

  /** Returns the index of a key, or -1 if it is absent. */
  find(key: KeyWords): number {
    return (this.#slots[this.#probe(key)] ?? 0) - 1;
  }

  /** Adds a key and returns its index. The key must not be present yet. */
  add(key: KeyWords): number {
    if (this.#count + 1 > this.#slots.length * MAX_LOAD_FACTOR) this.#increaseSlots();
    const index = this.#count;
    if (index % SEGMENT_ENTRIES === 0) {
      this.#segments.push({
        words: new Uint32Array(SEGMENT_ENTRIES * WORDS_PER_KEY),
        owners: new Uint16Array(SEGMENT_ENTRIES),
        states: new Uint8Array(SEGMENT_ENTRIES),
      });
    }
    const { words } = this.#getSegment(index);
    words.set(key, (index % SEGMENT_ENTRIES) * WORDS_PER_KEY);
    this.#slots[this.#probe(key)] = index + 1;
    this.#count += 1;
    return index;
  }

  readKey(index: number): KeyWords {
    const { words } = this.#getSegment(index);
    const at = (index % SEGMENT_ENTRIES) * WORDS_PER_KEY;
    return [words[at] ?? 0, words[at + 1] ?? 0, words[at + 2] ?? 0, words[at + 3] ?? 0];
  }

  /** Reads the owner and the state at an index. */
  read(index: number): { owner: number; state: number } {
    const { owners, states } = this.#getSegment(index);
    const at = index % SEGMENT_ENTRIES;
    return { owner: owners[at] ?? 0, state: states[at] ?? 0 };
  }

  /** Writes the owner and the state at an index. */
  write(index: number, owner: number, state: number): void {
    const { owners, states } = this.#getSegment(index);
    owners[index % SEGMENT_ENTRIES] = owner;
    states[index % SEGMENT_ENTRIES] = state;
  }

  #getSegment(index: number): Segment {
    const segment = this.#segments[Math.floor(index / SEGMENT_ENTRIES)];
    if (segment === undefined) throw new RangeError(`no entry at index ${index}`);
    return segment;
  }

  /** Finds the slot of a key by linear probing, or the free slot where it would be inserted. */
  #probe(key: KeyWords): number {
    const mask = this.#slots.length - 1;
    let slot = (Math.imul(key[3] ^ key[1], 0x9e3779b1) ^ key[2]) & mask;
    for (;;) {
      const index = (this.#slots[slot] ?? 0) - 1;
      if (index < 0) return slot;
      const candidate = this.readKey(index);
      if (candidate.every((word, place) => word === key[place])) return slot;
      slot = (slot + 1) & mask;
    }
  }

  #increaseSlots(): void {
    this.#slots = new Uint32Array(this.#slots.length * 2);
    for (let index = 0; index < this.#count; index += 1) {
      this.#slots[this.#probe(this.readKey(index))] = index + 1;
    }
  }
}
