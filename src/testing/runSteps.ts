/** Runs a generator to its end and returns what it returns. */
export function runSteps<Result>(steps: Generator<undefined, Result>): Result {
  let step = steps.next();
  while (step.done !== true) step = steps.next();
  return step.value;
}
