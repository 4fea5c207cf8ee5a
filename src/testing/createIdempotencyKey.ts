import { randomBytes } from 'node:crypto';

/** Creates a UUIDv7 for the given time, in milliseconds since the Unix epoch. */
export function createIdempotencyKey(wallMs = Date.now()): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(wallMs, 0, 6);
  bytes[6] = 0x70 + ((bytes[6] ?? 0) % 0x10);
  bytes[8] = 0x80 + ((bytes[8] ?? 0) % 0x40);
  const hex = bytes.toString('hex');
  return [0, 8, 12, 16, 20].map((from, at) => hex.slice(from, [8, 12, 16, 20, 32][at])).join('-');
}
