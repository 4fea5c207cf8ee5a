import type { ClaimCursor, ClaimRequest, HandOverPart, MemberAnswer } from '../claim/mod.js';
import type { ProcessStatus } from '../fleet/mod.js';
import type { Heartbeat } from '../session/mod.js';

/** What a gateway does for its peers, apart from the encoding of the calls. */
export abstract class PeerApi {
  /** Tells which session runs here and how far it has read the log. */
  abstract answerHeartbeat(): Promise<Heartbeat>;

  /** Reads the state of the process; with a revision also when it folded that change. */
  abstract readStatus(revision?: number): Promise<ProcessStatus>;

  /** Records claims of another session; one answer a key. */
  abstract recordClaims(request: ClaimRequest): Promise<MemberAnswer[]>;

  /** Reads a part of the claim table for a new session; undefined if it can't be given now. */
  abstract readHandOver(session: string, cursor: ClaimCursor): Promise<HandOverPart | undefined>;
}
