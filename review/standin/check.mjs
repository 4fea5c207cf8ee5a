/** Lists the runs that broke the rule TWICE: by task, what ran twice and when. */
export function listTwice(events) {
  const running = new Map();
  const done = new Map();
  const noted = new Set();
  events.forEach(({ type, how, run, worker }) => {
    if (type === 'noted' && how === 'done') noted.add(`${run.task}#${run.runId}#${worker}`);
  });
  const found = [];
  events.forEach(({ type, how, run, worker }) => {
    const { task, runId } = run;
    const others = running.get(task) ?? new Map();
    running.set(task, others);
    if (type === 'start') {
      const ended = done.get(task);
      if (others.size > 0) found.push(`${task} run ${runId} on ${worker}: another run is at work`);
      else if (ended !== undefined && noted.has(ended))
        found.push(
          `${task} run ${runId} on ${worker}: ${ended} had ended done and was taken note of`,
        );
      others.set(`${runId}#${worker}`, true);
    }
    if (type === 'end') {
      others.delete(`${runId}#${worker}`);
      if (how === 'done') done.set(task, `${task}#${runId}#${worker}`);
    }
  });
  return found;
}
