import { z } from 'zod';

/** Place in a claim table: the hour of key creation and the index within it. */
export const ClaimCursor = z.object({ hour: z.number().int(), index: z.number().int() });
export type ClaimCursor = z.infer<typeof ClaimCursor>;

/** A part of a claim table on its way to a new session. */
export const ClaimChunk = z.object({
  cursor: ClaimCursor,
  /** Where the next part begins; null after the last. */
  next: ClaimCursor.nullable(),
  /** Session ids that the entries refer to. */
  owners: z.array(z.string()),
  /** Entries of 19 bytes each in base64: key, index of the owner (16 bits), state. */
  entries: z.string(),
  /** SHA-256 of `entries`. */
  hash: z.string(),
});
export type ClaimChunk = z.infer<typeof ClaimChunk>;
