import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import type { z } from 'zod';
import { FleetSnapshot } from './FleetSnapshot.js';

/** Entries validated per slice; 1,000 take about 5 ms. */
const ENTRIES_PER_SLICE = 1_000;

async function parseArray(schema: z.ZodType, values: unknown[]): Promise<unknown[]> {
  const parsed: unknown[] = schema.parse([]) as unknown[];
  for (let start = 0; start < values.length; start += ENTRIES_PER_SLICE) {
    parsed.push(...(schema.parse(values.slice(start, start + ENTRIES_PER_SLICE)) as unknown[]));
    await yieldToEventLoop();
  }
  return parsed;
}

async function parseObject(
  schema: z.ZodType,
  values: Record<string, unknown>,
): Promise<Record<string, unknown>> {
  const parsed = {};
  const entries = Object.entries(values);
  for (let start = 0; start < entries.length; start += ENTRIES_PER_SLICE) {
    const slice = Object.fromEntries(entries.slice(start, start + ENTRIES_PER_SLICE));
    Object.assign(parsed, schema.parse(slice));
    await yieldToEventLoop();
  }
  return parsed;
}

/**
 * Parses a snapshot from another process in slices, so that other work can run in between.
 *
 * @throws `TypeError` if the value is not an object, or the schema's error if it is not a snapshot.
 * @example
 * ```ts
 * const fleet = Fleet.restore(await parseSnapshot(JSON.parse(text)));
 * ```
 */
export async function parseSnapshot(value: unknown): Promise<FleetSnapshot> {
  if (typeof value !== 'object' || value === null)
    throw new TypeError('expected a snapshot object');
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
