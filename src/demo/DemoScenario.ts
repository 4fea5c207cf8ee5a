import type { DemoStage } from './DemoContext.js';

/** Something that the demo shows on an open fleet. */
export abstract class DemoScenario {
  abstract readonly name: string;

  abstract readonly summary: string;

  /** Shows it; every claim goes through the stage, which counts those that do not come true. */
  abstract run(stage: DemoStage): Promise<void>;
}
