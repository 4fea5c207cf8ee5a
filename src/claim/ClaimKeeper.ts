import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { Job, Outcome } from '../job/mod.js';
import type { PeerLink } from '../link/PeerLink.js';
import type { Peer, SessionView } from '../session/mod.js';
import type { ClaimAnswer, ClaimLocation } from './ClaimAnswer.js';
import type { ClaimCursor } from './ClaimChunk.js';
import { ClaimLedger, type HandOverPart, type PendingClaim } from './ClaimLedger.js';
import type { ClaimRequest, MemberAnswer } from './ClaimRequest.js';
import { ClaimTable } from './ClaimTable.js';
import { refuseClaim } from './refuseClaim.js';

/**
 * A claim takes 35 bytes (at 500,000 claims), so a full table takes 70 MB of the 256 MB that a node
 * has for control.
 */
const MAX_CLAIMS = 2_000_000;
/** A claim that takes longer fails, because the process may have been suspended meanwhile. */
const CLAIM_TIMEOUT_MS = 1_000;
const TICK_INTERVAL_MS = 500;
const TABLE_START: ClaimCursor = { hour: -1, index: 0 };

/** Messages that the keeper receives. */
export type ClaimKeeperMessage =
  | { type: 'locate'; job: Job; reply: (answer: ClaimLocation) => void }
  | { type: 'authorize'; job: Job; reply: (answer: ClaimAnswer) => void }
  | { type: 'answered'; round: ClaimRound; member: number; answer: MemberAnswer | undefined }
  | { type: 'timeout'; round: ClaimRound }
  /** A claimed job ended with this outcome. */
  | { type: 'finished'; key: string; outcome: Outcome }
  | { type: 'record'; request: ClaimRequest; reply: (answers: MemberAnswer[]) => void }
  | {
      type: 'read-hand-over';
      session: string;
      cursor: ClaimCursor;
      reply: (part: HandOverPart | undefined) => void;
    }
  | { type: 'hand-over'; progress: HandOverProgress; part: HandOverPart | undefined }
  | { type: 'view'; view: SessionView }
  | { type: 'hold'; isHeld: boolean }
  | { type: 'status'; reply: (status: ClaimStatus) => void }
  | { type: 'tick' };

/** A claim that has been sent to the members of the view and waits for their answers. */
interface ClaimRound {
  pending: PendingClaim;
  answers: (MemberAnswer | undefined)[];
  waiting: number;
  startedAt: number;
  timer: NodeJS.Timeout;
  reply: ((answer: ClaimAnswer) => void) | undefined;
}

/** Progress of the transfer of a member's claim table to this session. */
interface HandOverProgress {
  session: string;
  from: string;
  cursor: ClaimCursor;
  /** Highest `coveredFrom` of the parts received so far. */
  coveredFrom: number;
}

/** Size of the claim table, and the key creation time from which it is complete. */
export interface ClaimStatus {
  claims: number;
  bytes: number;
  coveredFrom: number | undefined;
}

/** Options of the keeper. */
export interface ClaimKeeperOptions {
  clock: Clock;
  openLink: (peer: Peer) => PeerLink;
  /** Called with each view after claims have started to use it. */
  onView: (view: SessionView) => void;
  maxClaims?: number;
}

/** Owns the claims of a gateway and the links that replicate them to its peers. */
export class ClaimKeeper extends Actor<ClaimKeeperMessage> {
  readonly #options: ClaimKeeperOptions;

  readonly #ledger: ClaimLedger;

  readonly #links = new Map<string, PeerLink>();

  readonly #timer: NodeJS.Timeout;

  #handOverProgress: HandOverProgress | undefined;

  /** Own session for which a hand-over has been completed. */
  #handOverDoneFor: string | undefined;

  /** Selects the next member in turn, in case the previous one could not provide its table. */
  #handOverAttempts = 0;

  constructor(scope: ActorScope, options: ClaimKeeperOptions) {
    super(scope, 'claim-keeper');
    this.#options = options;
    this.#ledger = new ClaimLedger(new ClaimTable(options.maxClaims ?? MAX_CLAIMS));
    this.#timer = setInterval(() => this.send({ type: 'tick' }), TICK_INTERVAL_MS);
  }

  protected override receive(message: ClaimKeeperMessage): void {
    switch (message.type) {
      case 'authorize':
        this.#authorize(message.job, message.reply);
        break;
      case 'locate':
        message.reply(this.#locate(message.job));
        break;
      case 'answered':
        this.#collectAnswer(message.round, message.member, message.answer);
        break;
      case 'timeout':
        this.#finishRound(message.round);
        break;
      case 'finished':
        this.#ledger.recordOutcome(message.key, message.outcome);
        break;
      case 'record':
        message.reply(this.#recordClaims(message.request));
        break;
      case 'read-hand-over':
        message.reply(this.#ledger.readHandOver(message.session, message.cursor));
        break;
      case 'hand-over':
        this.#receivePart(message.progress, message.part);
        break;
      case 'view':
        this.#updateView(message.view);
        break;
      case 'hold':
        this.#ledger.setHeld(message.isHeld);
        break;
      case 'status': {
        const { table, coveredFrom } = this.#ledger;
        message.reply({ claims: table.count, bytes: table.bytes, coveredFrom });
        break;
      }
      default:
        this.#ledger.table.prune(this.#options.clock.readWall());
        this.#startHandOver();
    }
  }

  override close(): void {
    clearInterval(this.#timer);
    this.#links.forEach((link) => link.close());
    super.close();
  }

  #locate(job: Job): ClaimLocation {
    if (job.idempotent || job.key === undefined) return { verdict: 'here' };
    const now = this.#options.clock.readWall();
    return this.#ledger.locate(job.key, { isForwarded: job.forwarded === true, now });
  }

  #authorize(job: Job, reply: (answer: ClaimAnswer) => void): void {
    if (job.idempotent || job.key === undefined) {
      reply({ verdict: 'granted' });
      return;
    }
    const { clock } = this.#options;
    const begun = this.#ledger.openClaim(job.key, {
      isForwarded: job.forwarded === true,
      now: clock.readWall(),
    });
    if (begun.verdict !== 'pending') {
      reply(begun);
      return;
    }
    const round: ClaimRound = {
      pending: begun,
      answers: begun.members.map(() => undefined),
      waiting: begun.members.length,
      startedAt: clock.readMonotonic(),
      timer: setTimeout(() => this.send({ type: 'timeout', round }), CLAIM_TIMEOUT_MS),
      reply,
    };
    begun.members.forEach((peer, member) => {
      this.#getLink(peer).send({
        type: 'claim',
        owner: begun.session,
        view: begun.view,
        key: begun.key.text,
        reply: (answer) => this.send({ type: 'answered', round, member, answer }),
      });
    });
    if (round.waiting === 0) this.#finishRound(round);
  }

  #collectAnswer(round: ClaimRound, member: number, answer: MemberAnswer | undefined): void {
    const { answers } = round;
    answers[member] = answer;
    Object.assign(round, { waiting: round.waiting - 1 });
    if (round.waiting === 0 || answer?.verdict !== 'recorded') this.#finishRound(round);
  }

  #finishRound(round: ClaimRound): void {
    const { reply, pending, answers, startedAt } = round;
    if (reply === undefined) return;
    Object.assign(round, { reply: undefined });
    clearTimeout(round.timer);
    const { clock } = this.#options;
    const validUntil = startedAt + CLAIM_TIMEOUT_MS;
    const isLate = clock.readMonotonic() > validUntil;
    const answer = this.#ledger.finishClaim(pending, isLate ? [] : answers, clock.readWall());
    if (answer.verdict !== 'granted') {
      reply(answer);
    } else if (isLate) {
      // Without other members there are no answers to discard, so a pause shows only in the time.
      this.#ledger.recordOutcome(pending.key.text, 'not-run');
      reply(refuseClaim('the claim took too long'));
    } else {
      reply({ ...answer, validUntil });
    }
  }

  #recordClaims(request: ClaimRequest): MemberAnswer[] {
    const now = this.#options.clock.readWall();
    return request.keys.map((key) => this.#ledger.recordClaim(request, key, now));
  }

  #updateView(view: SessionView): void {
    this.#ledger.updateView(view);
    const members = new Set(view.members.map((peer) => peer.session));
    this.#links.forEach((link, session) => {
      if (members.has(session)) return;
      this.#links.delete(session);
      link.close();
    });
    this.#options.onView(view);
    this.#startHandOver();
  }

  #getLink(peer: Peer): PeerLink {
    let link = this.#links.get(peer.session);
    if (link === undefined) {
      link = this.#options.openLink(peer);
      this.#links.set(peer.session, link);
    }
    return link;
  }

  /** Requests the table of a member, unless this session already has one or is receiving it. */
  #startHandOver(): void {
    const { view } = this.#ledger;
    const session = view?.own?.session;
    if (view === undefined || session === undefined || this.#handOverDoneFor === session) return;
    if (this.#handOverProgress?.session === session) return;
    const others = view.members.filter((peer) => peer.session !== session);
    const peer = others[this.#handOverAttempts % Math.max(1, others.length)];
    if (peer === undefined) return;
    this.#handOverAttempts += 1;
    const coveredFrom = -Infinity;
    this.#fetchPart({ session, from: peer.session, cursor: TABLE_START, coveredFrom }, peer);
  }

  #fetchPart(progress: HandOverProgress, peer: Peer): void {
    this.#handOverProgress = progress;
    this.#getLink(peer).send({
      type: 'hand-over',
      session: progress.session,
      cursor: progress.cursor,
      reply: (part) => this.send({ type: 'hand-over', progress, part }),
    });
  }

  #receivePart(progress: HandOverProgress, part: HandOverPart | undefined): void {
    if (this.#handOverProgress !== progress) return;
    this.#handOverProgress = undefined;
    const { view } = this.#ledger;
    const peer = view?.members.find((member) => member.session === progress.from);
    const isValid =
      part !== undefined &&
      view?.own?.session === progress.session &&
      part.session === progress.from &&
      part.chunk.cursor.hour === progress.cursor.hour &&
      part.chunk.cursor.index === progress.cursor.index;
    // The table is complete only if every part came from the same member. Otherwise the next tick
    // starts again; the parts merged so far do no harm.
    if (!isValid || peer === undefined || !this.#ledger.table.mergeChunk(part.chunk)) return;
    const coveredFrom = Math.max(progress.coveredFrom, part.coveredFrom);
    if (part.chunk.next !== null) {
      this.#fetchPart({ ...progress, cursor: part.chunk.next, coveredFrom }, peer);
      return;
    }
    this.#handOverDoneFor = progress.session;
    this.#ledger.finishHandOver(progress.session, coveredFrom);
  }
}
