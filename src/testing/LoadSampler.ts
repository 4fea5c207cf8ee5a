// eslint-disable-next-line import-x/no-extraneous-dependencies -- only tests import this file.
import fc from 'fast-check';

const RESOLUTION = 1_000_000_000;

/** Samples of a logarithmic normal distribution. */
export class LoadSampler {
  readonly #values: number[];

  #next = 0;

  constructor(seed: number) {
    const uniform = fc.integer({ min: 1, max: RESOLUTION }).map((value) => value / RESOLUTION);
    this.#values = fc.sample(fc.noBias(uniform), { seed, numRuns: 50_000 });
  }

  sample(): number {
    this.#next += 1;
    return this.#values[this.#next % this.#values.length] ?? 0.5;
  }

  /** Samples a value with the given mean, of whose logarithm `spread` is the standard deviation. */
  sampleAround(mean: number, spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(this.sample())) * Math.cos(2 * Math.PI * this.sample());
    return mean * Math.exp(spread * normal - (spread * spread) / 2);
  }
}
