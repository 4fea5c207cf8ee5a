import { formatEventKey } from './_EventGraph.js';
import type { ExplainedEvent } from './explainSubject.js';
import { formatEvent } from './formatEvent.js';

/** A step with the combined causes of all processes that recorded it. */
interface StepGroup {
  step: ExplainedEvent;
  causes: string[];
  processes: number;
}

/** Groups the events of processes that applied the same record with the same verdict. */
function formatGroupKey({ event }: ExplainedEvent): string {
  if (event.record === undefined || event.request !== undefined) return formatEventKey(event);
  return `${event.type} ${event.record}`;
}

function groupSteps(steps: readonly ExplainedEvent[]): Map<string, StepGroup> {
  const groups = new Map<string, StepGroup>();
  steps.forEach((step) => {
    const key = formatGroupKey(step);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, { step, causes: [...step.causes], processes: 1 });
    else {
      group.causes.push(...step.causes);
      group.processes += 1;
    }
  });
  return groups;
}

/**
 * Formats an explanation with one numbered step per line; `<- 1, 2` lists the steps that caused it.
 * Steps that are included only as causes of others are indented. A record that several processes
 * applied with the same verdict is one step, formatted from the first of their events.
 *
 * @example
 * ```ts
 * const steps = explainSubject([timeline.list()], { kind: 'host', name: 'h7' });
 * formatExplanation(steps).split('\n').length <= steps.length; // true
 * ```
 */
export function formatExplanation(steps: readonly ExplainedEvent[]): string {
  const groups = groupSteps(steps);
  const stepNumbers = new Map([...groups.keys()].map((key, index) => [key, index + 1]));
  const groupKeys = new Map(
    steps.map((step) => [formatEventKey(step.event), formatGroupKey(step)]),
  );
  const width = String(groups.size).length;
  return [...groups.values()]
    .map(({ step, causes, processes }, index) => {
      const causeNumbers = causes
        .map((key) => stepNumbers.get(groupKeys.get(key) ?? ''))
        .filter((stepNumber): stepNumber is number => stepNumber !== undefined);
      const because =
        causeNumbers.length === 0 ? '' : ` <- ${[...new Set(causeNumbers)].join(', ')}`;
      const number = String(index + 1).padStart(width);
      const processCount = processes > 1 ? ` (in ${processes} processes)` : '';
      const indent = step.isAboutSubject ? '' : '  ';
      return `${number}${indent} ${formatEvent(step)}${processCount}${because}`;
    })
    .join('\n');
}
