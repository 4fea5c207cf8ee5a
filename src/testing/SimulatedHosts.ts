import type { Run } from '../schedule/mod.js';
import type { ScheduleRig } from './ScheduleRig.js';

interface SimulatedRun {
  run: Run;
  startedAt: number;
  endsAt: number;
}

/** Hosts that run what they are told to start, and report it. */
export class SimulatedHosts {
  readonly #rig: ScheduleRig;

  readonly #runs = new Map<string, SimulatedRun[]>();

  readonly #sequences = new Map<string, number>();

  constructor(rig: ScheduleRig) {
    this.#rig = rig;
  }

  start(run: Run, now: number, runMs: number): void {
    const runs = this.#runs.get(run.host.id) ?? [];
    runs.push({ run, startedAt: now, endsAt: now + runMs });
    this.#runs.set(run.host.id, runs);
  }

  /** Reports the hosts on which runs have ended. */
  reportEnds(now: number): void {
    this.#runs.forEach((runs, id) => {
      const ended = runs.filter(({ endsAt }) => endsAt <= now);
      if (ended.length === 0) return;
      const running = runs.filter(({ endsAt }) => endsAt > now);
      this.#runs.set(id, running);
      this.#rig.report(id, {
        running: running.map(({ run, startedAt, endsAt }) => ({
          task: run.task,
          run: run.number,
          checkpoint: '',
          percent: Math.floor((100 * (now - startedAt)) / (endsAt - startedAt)),
          load: 1_000,
        })),
        ended: ended.map(({ run }) => ({
          sequence: this.#takeSequence(id),
          task: run.task,
          run: run.number,
          outcome: 'done',
          checkpoint: '',
        })),
      });
    });
  }

  #takeSequence(id: string): number {
    const sequence = (this.#sequences.get(id) ?? 0) + 1;
    this.#sequences.set(id, sequence);
    return sequence;
  }
}
