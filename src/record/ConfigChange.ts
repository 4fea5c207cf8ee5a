import { z } from 'zod';
import { DataCentre, ObjectName } from '../dataCentre/mod.js';
import { Host } from '../host/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { Team } from '../team/mod.js';

/** Schemas of the configuration objects by kind. */
export const OBJECT_SCHEMAS = {
  dataCentre: DataCentre,
  host: Host,
  pool: Pool,
  service: Service,
  team: Team,
} as const;

export const ObjectKind = z.enum(['dataCentre', 'host', 'pool', 'service', 'team']);
export type ObjectKind = z.infer<typeof ObjectKind>;

/** Creates, replaces or removes one configuration object. */
export const Operation = z.union([
  z.object({ action: z.literal('remove'), kind: ObjectKind, name: ObjectName }),
  z.object({ action: z.literal('put'), kind: z.literal('dataCentre'), object: DataCentre }),
  z.object({ action: z.literal('put'), kind: z.literal('host'), object: Host }),
  z.object({ action: z.literal('put'), kind: z.literal('pool'), object: Pool }),
  z.object({ action: z.literal('put'), kind: z.literal('service'), object: Service }),
  z.object({ action: z.literal('put'), kind: z.literal('team'), object: Team }),
]);
export type Operation = z.infer<typeof Operation>;

/**
 * One part of a configuration change. The change is applied atomically at its last part, and only
 * if none of the objects it modifies was changed after `baseRevision`.
 */
export const ConfigChange = z.object({
  type: z.literal('config-change'),
  changeId: z.string(),
  /** The configuration revision on which the operator based the change. */
  baseRevision: z.number().int().nonnegative(),
  /** Number of this part, starting at 1. */
  part: z.number().int().positive(),
  parts: z.number().int().positive(),
  operations: z.array(Operation),
  /** The operator who made the change, shown in the timeline. */
  operator: z.string().default(''),
});
export type ConfigChange = z.infer<typeof ConfigChange>;
