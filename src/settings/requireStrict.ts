import { z } from 'zod';

/**
 * Copies a schema so that it rejects unknown keys in every nested object. Records are read with the
 * lenient schema, so that an older process can fold the records of a newer one. Documents written
 * by operators are read with the strict schema, so that a misspelt rule is not ignored.
 *
 * @example
 * ```ts
 * requireStrict(Pool).safeParse({ name: 'billing', need: 3, headrom: 1 }).success; // false
 * ```
 */
export function requireStrict<Schema extends z.ZodType>(schema: Schema): Schema {
  const { def } = schema as unknown as { def: Record<string, unknown> };
  const changed: Record<string, unknown> = {};
  if (schema instanceof z.ZodObject) {
    const entries = Object.entries(schema.shape);
    changed.shape = Object.fromEntries(entries.map(([key, one]) => [key, requireStrict(one)]));
    changed.catchall = z.never();
  }
  if (schema instanceof z.ZodArray) changed.element = requireStrict(schema.element as z.ZodType);
  if (def.innerType instanceof z.ZodType) changed.innerType = requireStrict(def.innerType);
  if (Object.keys(changed).length === 0) return schema;
  return schema.clone({ ...def, ...changed } as never);
}
