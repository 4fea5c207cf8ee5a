const DEFAULT_SEED = 42;

/** Reads the seed of property tests from the environment variable `FC_SEED`; 42 if it is not set. */
export function readSeed(): number {
  return Number(process.env.FC_SEED ?? DEFAULT_SEED);
}
