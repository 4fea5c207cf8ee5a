import { formatEventKey } from './_EventGraph.js';
import type { ExplainedEvent } from './explainSubject.js';
import { formatEvent } from './formatEvent.js';

/**
 * Formats an explanation with one numbered step a line; `<- 1, 2` names the steps that led to it.
 * Steps that are there only as causes of others are indented.
 *
 * @example
 * ```ts
 * const steps = explainSubject([timeline.list()], { kind: 'host', name: 'h7' });
 * formatExplanation(steps).split('\n').length === steps.length; // true
 * ```
 */
export function formatExplanation(steps: readonly ExplainedEvent[]): string {
  const numbers = new Map(steps.map((step, index) => [formatEventKey(step.event), index + 1]));
  const width = String(steps.length).length;
  return steps
    .map((step, index) => {
      const causes = step.causes.map((key) => numbers.get(key)).filter((one) => one !== undefined);
      const because = causes.length === 0 ? '' : ` <- ${causes.join(', ')}`;
      const number = String(index + 1).padStart(width);
      return `${number}${step.isAboutSubject ? '' : '  '} ${formatEvent(step)}${because}`;
    })
    .join('\n');
}
