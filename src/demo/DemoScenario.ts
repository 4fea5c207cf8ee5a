import type { DemoContext } from './DemoContext.js';

/** A scenario that the demo runs on an open fleet. */
export abstract class DemoScenario {
  abstract readonly name: string;

  abstract readonly summary: string;

  /** Runs the scenario. Its claims are checked by the context, which counts those that fail. */
  abstract run(context: DemoContext): Promise<void>;
}
