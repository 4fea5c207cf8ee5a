import type {
  ClaimCursor,
  ClaimKeeper,
  ClaimRequest,
  HandOverPart,
  MemberAnswer,
} from '../claim/mod.js';
import type { ProcessStatus } from '../fleet/mod.js';
import { PeerApi } from '../link/mod.js';
import type { Heartbeat, SessionKeeper } from '../session/mod.js';

/** The actors and functions that handle calls from peers. */
export interface KeeperPeerApiOptions {
  claims: ClaimKeeper;
  /** Returns the session keeper, which is created after the peer port. */
  findSession: () => SessionKeeper | undefined;
  readStatus: (session: string, revision?: number) => Promise<ProcessStatus>;
}

/** Handles calls from peers by asking the session keeper and the claim keeper of this gateway. */
export class KeeperPeerApi extends PeerApi {
  readonly #claims: ClaimKeeper;

  readonly #findSession: () => SessionKeeper | undefined;

  readonly #readStatus: (session: string, revision?: number) => Promise<ProcessStatus>;

  constructor({ claims, findSession, readStatus }: KeeperPeerApiOptions) {
    super();
    this.#claims = claims;
    this.#findSession = findSession;
    this.#readStatus = readStatus;
  }

  override async readStatus(revision?: number): Promise<ProcessStatus> {
    const { session } = await this.answerHeartbeat();
    return this.#readStatus(session, revision);
  }

  override async answerHeartbeat(): Promise<Heartbeat> {
    const session = this.#findSession();
    if (session === undefined) throw new Error('the gateway has no session yet');
    return session.ask<Heartbeat>((reply) => ({ type: 'ask-heartbeat', reply }));
  }

  override recordClaims(request: ClaimRequest): Promise<MemberAnswer[]> {
    return this.#claims.ask<MemberAnswer[]>((reply) => ({ type: 'record', request, reply }));
  }

  override readHandOver(session: string, cursor: ClaimCursor): Promise<HandOverPart | undefined> {
    return this.#claims.ask<HandOverPart | undefined>((reply) => ({
      type: 'read-hand-over',
      session,
      cursor,
      reply,
    }));
  }
}
