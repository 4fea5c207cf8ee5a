import { CLOCK_SKEW_MS, KEY_MAX_AGE_MS, SESSION_LEASE_MS } from '../fleet/mod.js';
import { sortByWeight, type Peer, type SessionView } from '../session/mod.js';
import type { ClaimAnswer, ClaimLocation, ClaimRefusal } from './ClaimAnswer.js';
import type { ClaimChunk, ClaimCursor } from './ClaimChunk.js';
import type { MemberAnswer } from './ClaimRequest.js';
import { ClaimTable } from './ClaimTable.js';
import { chooseHomeDataCentre } from './chooseHomeDataCentre.js';
import { IdempotencyKey } from './IdempotencyKey.js';
import { refuseClaim } from './refuseClaim.js';

/** A claim that waits for the answers of the other members of the view. */
export interface PendingClaim {
  verdict: 'pending';
  key: IdempotencyKey;
  session: string;
  view: number;
  /** The members that must record the claim. */
  members: Peer[];
}

/** Options of a claim. */
export interface ClaimOptions {
  /** Whether the job came from another gateway; it is then not forwarded again. */
  isForwarded: boolean;
  /** Wall-clock time in milliseconds. */
  now: number;
}

/** A part of the table, and the key creation time from which the table is complete. */
export interface HandOverPart {
  session: string;
  coveredFrom: number;
  chunk: ClaimChunk;
}

const CHUNK_ENTRIES = 2_000;

function refuseKey(status: number, outcome: 'not-run' | 'unknown', reason: string): ClaimRefusal {
  return { verdict: 'refused', outcome, status, reason };
}

function refuseDuplicate(outcome: 'ran' | 'unknown'): ClaimAnswer {
  return {
    verdict: 'refused',
    outcome,
    status: 409,
    reason: outcome === 'ran' ? 'the key has run' : 'the key was claimed before and may have run',
  };
}

function chooseOwner(view: SessionView, key: IdempotencyKey): Peer | string {
  const homeDataCentre = chooseHomeDataCentre(key, view.dataCentreSets);
  if (homeDataCentre === undefined) return 'no data centre is configured';
  const peers = view.gateways[homeDataCentre] ?? [];
  const [session] = sortByWeight(
    key.text,
    peers.map((peer) => peer.session),
  );
  const owner = peers.find((peer) => peer.session === session);
  return owner ?? `the key's data centre "${homeDataCentre}" has no gateway`;
}

/**
 * Decides on the claims of one gateway, without I/O, both for keys that the gateway owns and for
 * claims that other owners ask it to record.
 *
 * At most one claim per key is ever granted. For any two views in which a claim could be granted,
 * at least one of these holds: they have a member in common; a chain of complete hand-overs
 * connects them; or the key was created after the time up to which the older view could make
 * claims.
 */
export class ClaimLedger {
  readonly #table: ClaimTable;

  #view: SessionView | undefined;

  #isHeld = false;

  /** The last completed hand-over: the session that received it and the coverage it gave. */
  #completedHandOver: { session: string; coveredFrom: number } | undefined;

  constructor(table: ClaimTable) {
    this.#table = table;
  }

  get table(): ClaimTable {
    return this.#table;
  }

  get view(): SessionView | undefined {
    return this.#view;
  }

  /** Replaces the view; a view older than the current one is ignored. */
  updateView(view: SessionView): void {
    if (view.nextOffset >= (this.#view?.nextOffset ?? 0)) this.#view = view;
  }

  /** Suspends or resumes grants, for example after a process pause or during a planned stop. */
  setHeld(isHeld: boolean): void {
    this.#isHeld = isHeld;
  }

  /** This session knows every claim for keys created after this time; undefined while unknown. */
  get coveredFrom(): number | undefined {
    const own = this.#view?.own;
    if (own === undefined) return undefined;
    const handOverCoverage =
      this.#completedHandOver?.session === own.session
        ? this.#completedHandOver.coveredFrom
        : undefined;
    if (handOverCoverage === undefined) return this.#view?.coveredFrom;
    return Math.min(handOverCoverage, this.#view?.coveredFrom ?? Infinity);
  }

  /** Finds the gateway that owns a key, or the reason why none can run its job. */
  locate(text: string, options: ClaimOptions): ClaimLocation {
    const { isForwarded, now } = options;
    const parsed = IdempotencyKey.safeParse(text);
    if (!parsed.success) return refuseKey(400, 'not-run', `the key "${text}" is no UUIDv7`);
    const key = parsed.data;
    if (key.createdAt > now + CLOCK_SKEW_MS) {
      return refuseKey(400, 'not-run', 'the key was created in the future');
    }
    if (key.createdAt < now - KEY_MAX_AGE_MS || this.#table.hasPruned(key)) {
      return refuseKey(409, 'unknown', 'the key is older than 24 h');
    }
    const view = this.#view;
    if (view === undefined) return refuseClaim('the gateway has no fleet state yet');
    if (key.createdAt > view.time + KEY_MAX_AGE_MS) {
      return refuseClaim('the gateway has had no contact with the log for 24 h');
    }
    const owner = chooseOwner(view, key);
    if (typeof owner === 'string') return refuseClaim(owner);
    if (owner.session === view.own?.session) return { verdict: 'here' };
    if (isForwarded) return refuseClaim('the gateways differ about the owner of the key');
    return { verdict: 'forward', peerAddress: owner.peerAddress, session: owner.session };
  }

  /** Starts a claim: refuses it, forwards it, or lists the members that must record it. */
  openClaim(text: string, options: ClaimOptions): ClaimAnswer | PendingClaim {
    const location = this.locate(text, options);
    if (location.verdict !== 'here') return location;
    const view = this.#view as SessionView;
    return this.#openOwnClaim(view, IdempotencyKey.parse(text), options.now);
  }

  /** Grants or refuses a claim from the members' answers; undefined means that none arrived. */
  finishClaim(
    pending: PendingClaim,
    answers: (MemberAnswer | undefined)[],
    now: number,
  ): ClaimAnswer {
    const answer = this.#authorizeClaim(pending, answers, now);
    if (answer.verdict !== 'granted') this.#markFailed(pending.key, pending.session);
    return answer;
  }

  /** Records how the run of a granted claim ended. */
  recordOutcome(text: string, outcome: 'ran' | 'not-run' | 'unknown'): void {
    const parsed = IdempotencyKey.safeParse(text);
    const session = this.#view?.own?.session;
    if (!parsed.success || session === undefined) return;
    const claim = this.#table.find(parsed.data);
    if (claim?.owner !== session || claim.state !== 'held') return;
    if (outcome === 'ran') this.#table.put(parsed.data, { owner: session, state: 'ran' });
    if (outcome === 'not-run') this.#markFailed(parsed.data, session);
  }

  /** Records the claim of another session as a member of its view, or refuses to. */
  recordClaim(
    request: { owner: string; member: string; view: number },
    text: string,
    now: number,
  ): MemberAnswer {
    const view = this.#view;
    const ownSession = view?.own?.session;
    if (view === undefined || ownSession === undefined || ownSession !== request.member) {
      return { verdict: 'refused', reason: `session "${request.member}" is not open here` };
    }
    if (view.viewNumber !== request.view) {
      const reason = `the view is ${view.viewNumber}, the claim was made in view ${request.view}`;
      return { verdict: 'refused', reason };
    }
    const key = IdempotencyKey.parse(text);
    if (this.#table.hasPruned(key) || key.createdAt < now - KEY_MAX_AGE_MS - CLOCK_SKEW_MS) {
      return { verdict: 'refused', reason: 'the key is older than 24 h' };
    }
    return this.#recordForOwner(request.owner, key, ownSession);
  }

  /**
   * Reads a part of the table for a new session. Undefined if that session is not in the view, or if
   * the coverage of this one is unknown.
   */
  readHandOver(
    session: string,
    cursor: ClaimCursor,
    maxEntries = CHUNK_ENTRIES,
  ): HandOverPart | undefined {
    const { coveredFrom } = this;
    const ownSession = this.#view?.own?.session;
    const isMember = this.#view?.members.some((peer) => peer.session === session);
    if (coveredFrom === undefined || ownSession === undefined || !isMember) return undefined;
    const chunk = this.#table.readChunk(cursor, maxEntries);
    return { session: ownSession, coveredFrom, chunk };
  }

  /** Records that every part of another session's table has been merged. */
  finishHandOver(session: string, coveredFrom: number): void {
    this.#completedHandOver = { session, coveredFrom };
  }

  #recordForOwner(owner: string, key: IdempotencyKey, ownSession: string): MemberAnswer {
    const existing = this.#table.find(key);
    // The owner may repeat its claim, since it knows whether it ever granted it. Likewise this
    // session knows that a failed claim of its own was never granted.
    const isClaimable =
      existing === undefined ||
      (existing.owner === owner && existing.state === 'held') ||
      (existing.owner === ownSession && existing.state === 'failed');
    if (!isClaimable) {
      return { verdict: 'claimed', outcome: existing.state === 'ran' ? 'ran' : 'unknown' };
    }
    if (!this.#table.put(key, { owner, state: 'held' })) {
      return { verdict: 'refused', reason: 'the claim table is full' };
    }
    return { verdict: 'recorded', isCovered: this.#isCovered(key) };
  }

  #isCovered(key: IdempotencyKey): boolean {
    const { coveredFrom } = this;
    return coveredFrom !== undefined && key.createdAt > coveredFrom;
  }

  #openOwnClaim(view: SessionView, key: IdempotencyKey, now: number): ClaimAnswer | PendingClaim {
    const session = view.own?.session ?? '';
    const existing = this.#table.find(key);
    if (existing !== undefined && !(existing.owner === session && existing.state === 'failed')) {
      return refuseDuplicate(existing.state === 'ran' ? 'ran' : 'unknown');
    }
    const reason = this.#findBlockingReason(view, now);
    if (reason !== undefined) return refuseClaim(reason);
    if (!this.#table.put(key, { owner: session, state: 'held' })) {
      return refuseClaim('the claim table is full');
    }
    const members = view.members.filter((peer) => peer.session !== session);
    return { verdict: 'pending', key, session, view: view.viewNumber, members };
  }

  /** Finds the reason why this session may not make claims now; undefined if it may. */
  #findBlockingReason(view: SessionView, now: number): string | undefined {
    if (this.#isHeld) return 'the gateway refreshes its state';
    // `view.time` is a time of the platform's clock, so the skew is subtracted from the lease.
    if (now - view.time >= SESSION_LEASE_MS - CLOCK_SKEW_MS) {
      return 'the gateway has had no contact with the log for the lease of its session';
    }
    return undefined;
  }

  #authorizeClaim(
    pending: PendingClaim,
    answers: (MemberAnswer | undefined)[],
    now: number,
  ): ClaimAnswer {
    // A hand-over completed in the meantime may have added an earlier claim for the key.
    const ownClaim = this.#table.find(pending.key);
    if (ownClaim?.owner !== pending.session || ownClaim.state !== 'held') {
      return refuseDuplicate(ownClaim?.state === 'ran' ? 'ran' : 'unknown');
    }
    const claimed = answers.find((answer) => answer?.verdict === 'claimed');
    if (claimed?.verdict === 'claimed') return refuseDuplicate(claimed.outcome);
    const view = this.#view;
    if (view?.own?.session !== pending.session || view.viewNumber !== pending.view) {
      return refuseClaim('the gateways of the data centre changed');
    }
    const blockingReason = this.#findBlockingReason(view, now);
    if (blockingReason !== undefined) return refuseClaim(blockingReason);
    const recorded = answers.filter((answer) => answer?.verdict === 'recorded');
    if (recorded.length < pending.members.length) {
      const refusal = answers.find((answer) => answer?.verdict === 'refused');
      const reason = refusal?.verdict === 'refused' ? refusal.reason : 'a gateway did not answer';
      return refuseClaim(reason);
    }
    const isCovered =
      this.#isCovered(pending.key) ||
      recorded.some((answer) => answer?.verdict === 'recorded' && answer.isCovered);
    if (isCovered) return { verdict: 'granted' };
    return refuseKey(409, 'unknown', 'the key is older than the claims that the gateways know');
  }

  #markFailed(key: IdempotencyKey, session: string): void {
    const claim = this.#table.find(key);
    if (claim?.owner === session && claim.state === 'held') {
      this.#table.put(key, { owner: session, state: 'failed' });
    }
  }
}
