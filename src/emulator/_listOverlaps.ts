import type { StartedRun } from './EmulatedHost.js';

/** Lists pairs of runs of the same task that overlapped. */
export function listOverlaps(started: readonly StartedRun[]): [StartedRun, StartedRun][] {
  const byTask = new Map<string, StartedRun[]>();
  started.forEach((run) => byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]));
  return [...byTask.values()].flatMap((runs) =>
    runs.flatMap((run, index) =>
      runs
        .slice(index + 1)
        .filter((later) => later.startedAt < (run.endedAt ?? Infinity))
        .map((later): [StartedRun, StartedRun] => [run, later]),
    ),
  );
}

/** Lists runs that were started after a run of the same task had completed. */
export function listRepeats(started: readonly StartedRun[]): StartedRun[] {
  const done = new Map<string, number>();
  started.forEach(({ task, outcome, endedAt }) => {
    if (outcome === 'done' && endedAt !== undefined) done.set(task, endedAt);
  });
  return started.filter(({ task, startedAt }) => startedAt > (done.get(task) ?? Infinity));
}
