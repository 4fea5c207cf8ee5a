import { checkChange } from './_checkChange.js';
import type { FleetData } from './_FleetData.js';
import type { ConfigChange, LoggedRecord, Operation } from '../record/mod.js';
import { formatFinding } from '../finding/mod.js';
import { recordDataCentres } from './_recordDataCentres.js';
import { ACCEPTED, reject, type Verdict } from './Verdict.js';

function describeObject(operation: Operation): { name: string; key: string } {
  const name = operation.action === 'put' ? operation.object.name : operation.name;
  return { name, key: `${operation.kind} "${name}"` };
}

/** Lists the objects that changed after the revision that the operator saw. */
function findConflicts(data: FleetData, operations: Operation[], baseRevision: number): string[] {
  return operations.flatMap((operation) => {
    const { name, key } = describeObject(operation);
    const revision = data.configuration.findRevision(operation.kind, name);
    if (revision <= baseRevision) return [];
    return [`${key} changed at revision ${revision}, after the base revision ${baseRevision}`];
  });
}

function applyOperation(data: FleetData, operation: Operation, revision: number): void {
  const { name } = describeObject(operation);
  if (operation.kind !== 'host') {
    data.configuration.apply(operation, revision);
    return;
  }
  // The host is counted out with its old rack and counted in with its new one.
  const state = data.hostStates.get(name);
  data.changeHost(name, undefined);
  data.configuration.apply(operation, revision);
  if (operation.action === 'remove') return;
  data.changeHost(
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
  const parts = data.pendingChanges.get(change.changeId) ?? [];
  parts.push(change);
  if (parts.length < change.parts) {
    data.pendingChanges.set(change.changeId, parts);
    return undefined;
  }
  data.pendingChanges.delete(change.changeId);
  return parts;
}

/** Folds a part of a change; the last part makes the whole change take effect, or nothing of it. */
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
  // eslint-disable-next-line no-param-reassign -- the fold changes its data in place.
  data.revision = revision;
  return ACCEPTED;
}
