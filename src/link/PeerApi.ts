import type { ClaimCursor, ClaimRequest, HandOverPart, MemberAnswer } from '../claim/mod.js';
import type { ProcessStatus } from '../fleet/mod.js';
import type { Heartbeat } from '../session/mod.js';

/** The operations that a gateway offers to its peers, independent of the encoding of the calls. */
export abstract class PeerApi {
  /** Returns the session of this gateway and the offset up to which it has read the log. */
  abstract answerHeartbeat(): Promise<Heartbeat>;

  /** Reads the status of the process and, if a revision is given, when it applied that change. */
  abstract readStatus(revision?: number): Promise<ProcessStatus>;

  /** Records claims of another session. Returns one answer per key, in the same order. */
  abstract recordClaims(request: ClaimRequest): Promise<MemberAnswer[]>;

  /** Reads a part of the claim table for a new session; undefined if it is not available now. */
  abstract readHandOver(session: string, cursor: ClaimCursor): Promise<HandOverPart | undefined>;
}
