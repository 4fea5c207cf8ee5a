import { z } from 'zod';

/** Position in a claim table: the hour in which a key was created and the index in that hour. */
export const ClaimCursor = z.object({ hour: z.number().int(), index: z.number().int() });
export type ClaimCursor = z.infer<typeof ClaimCursor>;

/** A part of a claim table that is transferred to a new session. */
export const ClaimChunk = z.object({
  cursor: ClaimCursor,
  /** Start of the next part; null after the last one. */
  next: ClaimCursor.nullable(),
  /** Session ids that the entries refer to by index. */
  owners: z.array(z.string()),
  /** Base64 of 19-byte entries: key (16 bytes), index into `owners` (2 bytes), state (1 byte). */
  entries: z.string(),
  /** SHA-256 of the base64 text of `entries`, in hex. */
  hash: z.string(),
});
export type ClaimChunk = z.infer<typeof ClaimChunk>;
