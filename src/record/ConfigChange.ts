import { z } from 'zod';
import { DataCentre, ObjectName } from '../dataCentre/mod.js';
import { Host } from '../host/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { Team } from '../team/mod.js';

/** The kinds of configured objects with their schemas. */
export const OBJECT_SCHEMAS = {
  dataCentre: DataCentre,
  host: Host,
  pool: Pool,
  service: Service,
  team: Team,
} as const;

export const ObjectKind = z.enum(['dataCentre', 'host', 'pool', 'service', 'team']);
export type ObjectKind = z.infer<typeof ObjectKind>;

/** Puts or removes one object of the inventory or the rules. */
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
 * One part of a change of the inventory or the rules. The change takes effect at its last part,
 * whole or not at all, and only if no object that it touches changed after `baseRevision`.
 */
export const ConfigChange = z.object({
  type: z.literal('config-change'),
  changeId: z.string(),
  /** The configuration revision that the operator saw. */
  baseRevision: z.number().int().nonnegative(),
  /** Counts from 1. */
  part: z.number().int().positive(),
  parts: z.number().int().positive(),
  operations: z.array(Operation),
  /** Who made the change, for the time line. */
  operator: z.string().default(''),
});
export type ConfigChange = z.infer<typeof ConfigChange>;
