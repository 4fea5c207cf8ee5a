import type { HostDescription } from '../fleet/mod.js';
import { formatTime } from './formatTime.js';

const LABEL_WIDTH = 12;

function listFields(report: HostDescription): Record<string, string | undefined> {
  const { host, state, waitsFor, revisions } = report;
  const { cores, memoryGb, accelerators } = host.resources;
  const pool = revisions.pool === undefined ? '' : `, its pool at revision ${revisions.pool}`;
  return {
    place: `${host.dataCentre}, rack ${host.rack}, ${host.address}`,
    resources: `${cores} cores, ${memoryGb} GB, ${accelerators} accelerators`,
    status: `${state.status} since ${formatTime(state.statusSince)}`,
    phase: `${state.phase} since ${formatTime(state.phaseSince)}`,
    'waits for': waitsFor.length === 0 ? undefined : `drain by ${waitsFor.join(', ')}`,
    suspected: report.isPartitionSuspected
      ? 'its data centre has disappeared from the host list, so it is not moved'
      : undefined,
    changed: `at revision ${revisions.host}${pool}`,
    maintained: formatTime(state.maintainedAt),
    due: formatTime(report.dueAt),
    late: report.lateReason,
  };
}

/**
 * Describes a host in lines of text: what it is doing and why, then one line per property.
 *
 * @example
 * ```ts
 * describeHostLines(report)[0]; // 'h7 serves match: match asks for 4 + 1 hosts and has 5'
 * ```
 */
export function describeHostLines(report: HostDescription): string[] {
  const { doing, because } = report.activity;
  const facts = Object.entries(listFields(report)).flatMap(([label, text]) =>
    text === undefined ? [] : [`  ${label.padEnd(LABEL_WIDTH)}${text}`],
  );
  return [`${report.host.name} ${doing}: ${because}`, ...facts];
}
