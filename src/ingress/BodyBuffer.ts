/** Capacity in bytes of the first allocation. */
const INITIAL_CAPACITY = 4_096;

/**
 * Body of a request in one buffer.
 *
 * A list of the received chunks would need several hundred bytes for each chunk, also for chunks of
 * one byte.
 */
export class BodyBuffer {
  #buffer = Buffer.alloc(0);

  #length = 0;

  /** Number of bytes of the body. */
  get length(): number {
    return this.#length;
  }

  /** Appends bytes; the caller limits the length. */
  append(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    if (length > this.#buffer.length) {
      const capacity = Math.max(INITIAL_CAPACITY, length, this.#buffer.length * 2);
      const grown = Buffer.allocUnsafeSlow(capacity);
      this.#buffer.copy(grown, 0, 0, this.#length);
      this.#buffer = grown;
    }
    chunk.copy(this.#buffer, this.#length);
    this.#length = length;
  }

  /** Returns the body; it shares memory with the buffer. */
  read(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }
}
