import type { WaveOrder } from '../port/mod.js';

/** Maintenance of one machine that has been ordered. */
export interface UpkeepTurn {
  orderedAt: number;
  /** Host life that the machine carried before. */
  hostId: string | undefined;
  isAnswered: boolean;
}

/** A wave that is being carried out. */
export class UpkeepWave {
  readonly begun = new Set<string>();

  readonly turns = new Map<string, UpkeepTurn>();

  readonly emptyingSince = new Map<string, number>();

  readonly notBefore = new Map<string, number>();

  isCompleted = false;

  constructor(
    public order: WaveOrder,
    readonly seenAtMs: number,
  ) {}

  /** Marks every machine as done. */
  finish(): void {
    this.isCompleted = true;
  }
}
