import { checkChange } from './_checkChange.js';
import type { FleetData } from './_FleetData.js';
import type { ConfigChange, LoggedRecord, Operation } from '../record/mod.js';
import { formatFinding } from '../finding/mod.js';
import { recordDataCentres } from './_recordDataCentres.js';
import { ACCEPTED, reject, type Verdict } from './Verdict.js';

function describeTarget(operation: Operation): { name: string; key: string } {
  const name = operation.action === 'put' ? operation.object.name : operation.name;
  return { name, key: `${operation.kind} "${name}"` };
}

/** Lists the objects that changed after the base revision of the operator's change. */
function findConflicts(data: FleetData, operations: Operation[], baseRevision: number): string[] {
  return operations.flatMap((operation) => {
    const { name, key } = describeTarget(operation);
    const revision = data.configuration.findRevision(operation.kind, name);
    if (revision <= baseRevision) return [];
    return [`${key} changed at revision ${revision}, after the base revision ${baseRevision}`];
  });
}

function applyOperation(data: FleetData, operation: Operation, revision: number): void {
  const { name } = describeTarget(operation);
  if (operation.kind !== 'host') {
    data.configuration.apply(operation, revision);
    if (operation.kind === 'pool' && operation.action === 'remove') data.demands.delete(name);
    return;
  }
  // Removes the host from the counters under its old rack and adds it under its new one.
  const state = data.hostStates.get(name);
  data.setHostState(name, undefined);
  data.configuration.apply(operation, revision);
  if (operation.action === 'remove') return;
  data.setHostState(
    name,
    state ?? {
      status: 'live',
      phase: 'unassigned',
      drainedBy: [],
      drainOffset: 0,
      phaseSince: data.time,
      statusSince: data.time,
      maintainedAt: data.time,
    },
  );
}

function collectParts(data: FleetData, change: ConfigChange): ConfigChange[] | undefined {
  const pending = data.pendingChanges.get(change.changeId);
  // A restarted writer may send a part again; the part counts once.
  const otherParts = (pending?.parts ?? []).filter(({ part }) => part !== change.part);
  const parts = [...otherParts, change];
  if (parts.length < change.parts) {
    data.pendingChanges.set(change.changeId, { time: pending?.time ?? data.time, parts });
    return undefined;
  }
  data.pendingChanges.delete(change.changeId);
  return parts;
}

/** Applies a part of a change. The change takes effect atomically when its last part arrives. */
export function applyConfigChange(
  data: FleetData,
  record: LoggedRecord,
  change: ConfigChange,
): Verdict {
  const parts = collectParts(data, change);
  if (parts === undefined) return ACCEPTED;
  const operations = parts.flatMap((part) => part.operations);
  const reasons = findConflicts(data, operations, change.baseRevision);
  if (reasons.length === 0) reasons.push(...checkChange(data, operations).map(formatFinding));
  if (reasons.length > 0) return reject(...reasons);
  const revision = record.offset + 1;
  operations.forEach((operation) => applyOperation(data, operation, revision));
  recordDataCentres(data, record.time);
  // eslint-disable-next-line no-param-reassign -- the fleet data is modified in place.
  data.revision = revision;
  return ACCEPTED;
}
