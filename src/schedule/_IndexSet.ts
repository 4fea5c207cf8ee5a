/** Number of indexes in one element of the bit map. */
const BITS = 32;

/** A set of indexes below a fixed size; it takes one bit an index once the first one is added. */
export class IndexSet {
  readonly #capacity: number;

  #words: Uint32Array | undefined;

  #size = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Number of indexes in the set. */
  get size(): number {
    return this.#size;
  }

  has(index: number): boolean {
    const word = this.#words?.[Math.floor(index / BITS)] ?? 0;
    return Math.floor(word / 2 ** (index % BITS)) % 2 === 1;
  }

  /** Adds an index; adding it again has no effect. */
  add(index: number): void {
    if (index >= this.#capacity || this.has(index)) return;
    this.#words ??= new Uint32Array(Math.ceil(this.#capacity / BITS));
    const position = Math.floor(index / BITS);
    this.#words[position] = (this.#words[position] ?? 0) + 2 ** (index % BITS);
    this.#size += 1;
  }

  /** Lists the indexes from `from` up to, and without, `to`, in ascending order. */
  list(from = 0, to = this.#capacity): number[] {
    const listed: number[] = [];
    if (this.#size === 0) return listed;
    for (let index = from; index < to; index += 1) if (this.has(index)) listed.push(index);
    return listed;
  }
}
