/** Finds pairs of runs of one task that were at work at the same time, one line each. */
export function findOverlaps(events) {
  const runs = new Map();
  const lines = [];
  events.forEach(({ atMs, kind, task, runId, worker }) => {
    if (kind !== 'start' && kind !== 'end') return;
    const active = runs.get(task) ?? [];
    runs.set(task, active);
    const index = active.findIndex((run) => run.runId === runId && run.worker === worker);
    if (kind === 'end' && index >= 0) active.splice(index, 1);
    if (kind !== 'start') return;
    active.forEach((run) => {
      lines.push(
        `${task} run ${runId} started on ${worker} at ${atMs} ms while run ${run.runId} was at work on ${run.worker} since ${run.atMs} ms`,
      );
    });
    active.push({ atMs, runId, worker });
  });
  return lines;
}
