/** Runs a generator to completion and returns its return value. */
export function runGenerator<Result>(steps: Generator<undefined, Result>): Result {
  let step = steps.next();
  while (step.done !== true) step = steps.next();
  return step.value;
}
