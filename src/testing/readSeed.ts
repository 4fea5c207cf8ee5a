const DEFAULT_SEED = 42;

/** Reads the seed of property tests from `FC_SEED`; the default keeps CI runs repeatable. */
export function readSeed(): number {
  return Number(process.env.FC_SEED ?? DEFAULT_SEED);
}
