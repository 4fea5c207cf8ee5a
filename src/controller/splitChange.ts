import { randomUUID } from 'node:crypto';
import type { ConfigChange } from '../record/mod.js';
import type { ChangeRequest } from './ControllerApi.js';

/** At about 250 bytes per operation, a part stays below the record limit of 64 KiB. */
const OPERATIONS_PER_PART = 200;

/** Splits a configuration change into parts that each fit into a record. */
export function splitChange(request: ChangeRequest): ConfigChange[] {
  const parts = Math.ceil(request.operations.length / OPERATIONS_PER_PART);
  const changeId = randomUUID();
  return Array.from({ length: parts }, (_, index) => ({
    type: 'config-change',
    changeId,
    baseRevision: request.baseRevision,
    part: index + 1,
    parts,
    operations: request.operations.slice(
      index * OPERATIONS_PER_PART,
      (index + 1) * OPERATIONS_PER_PART,
    ),
    operator: request.operator,
  }));
}
