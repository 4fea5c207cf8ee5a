import { setImmediate as yieldTurn } from 'node:timers/promises';
import type { z } from 'zod';
import { FleetSnapshot } from './FleetSnapshot.js';

/** About 5 ms of schema checks. */
const SLICE = 1_000;

async function parseArray(schema: z.ZodType, values: unknown[]): Promise<unknown[]> {
  const parsed: unknown[] = schema.parse([]) as unknown[];
  for (let start = 0; start < values.length; start += SLICE) {
    parsed.push(...(schema.parse(values.slice(start, start + SLICE)) as unknown[]));
    await yieldTurn();
  }
  return parsed;
}

async function parseObject(
  schema: z.ZodType,
  values: Record<string, unknown>,
): Promise<Record<string, unknown>> {
  const parsed = {};
  const entries = Object.entries(values);
  for (let start = 0; start < entries.length; start += SLICE) {
    const slice = Object.fromEntries(entries.slice(start, start + SLICE));
    Object.assign(parsed, schema.parse(slice));
    await yieldTurn();
  }
  return parsed;
}

/**
 * Parses a snapshot from another process in slices that let other work run in between.
 *
 * @throws The error of the schema when the value is not a snapshot.
 * @example
 * ```ts
 * const fleet = Fleet.restore(await parseSnapshot(JSON.parse(text)));
 * ```
 */
export async function parseSnapshot(value: unknown): Promise<FleetSnapshot> {
  if (typeof value !== 'object' || value === null) throw new TypeError('expected an object');
  const source = value as Record<string, unknown>;
  const parsed: Record<string, unknown> = {};
  for (const [key, schema] of Object.entries(FleetSnapshot.shape) as [string, z.ZodType][]) {
    const field = source[key];
    if (Array.isArray(field)) parsed[key] = await parseArray(schema, field);
    else if (typeof field === 'object' && field !== null) {
      parsed[key] = await parseObject(schema, field as Record<string, unknown>);
    } else parsed[key] = schema.parse(field);
  }
  return parsed as FleetSnapshot;
}
