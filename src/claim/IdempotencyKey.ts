import { z } from 'zod';

const TIME_DIGITS = 12;
const HEX = 16;

/**
 * A caller's idempotency key: a UUIDv7, which contains the creation time in milliseconds by the
 * caller's clock.
 *
 * @example
 * ```ts
 * IdempotencyKey.parse('0190A5C0-0000-7000-8000-000000000000').createdAt; // 1720776589312
 * ```
 */
export const IdempotencyKey = z.uuidv7().transform((value) => {
  const text = value.toLowerCase();
  const createdAt = Number.parseInt(text.replaceAll('-', '').slice(0, TIME_DIGITS), HEX);
  return { text, createdAt };
});
export type IdempotencyKey = z.infer<typeof IdempotencyKey>;
