import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { ClaimCursor, HandOverPart, MemberAnswer } from '../claim/mod.js';
import type { Heartbeat, Peer } from '../session/mod.js';
import type { PeerRouter } from './PeerRouter.js';

/** Maximum number of claims in a batch; the schema of `ClaimRequest` allows no more. */
const MAX_BATCH_CLAIMS = 256;
/** Maximum number of batches in flight. Further claims wait and share the next batch. */
const MAX_OUTSTANDING_BATCHES = 4;
const CLAIM_TIMEOUT_MS = 800;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const HAND_OVER_TIMEOUT_MS = 5_000;

/** A claim for the peer to record. `reply` receives undefined if the peer did not answer. */
export interface ClaimMessage {
  type: 'claim';
  owner: string;
  view: number;
  key: string;
  reply: (answer: MemberAnswer | undefined) => void;
}

/** Messages that the link receives. */
export type PeerLinkMessage =
  | ClaimMessage
  | { type: 'flush' }
  | { type: 'sent' }
  | { type: 'heartbeat'; reply: (answer: Heartbeat | undefined) => void }
  | {
      type: 'hand-over';
      session: string;
      cursor: ClaimCursor;
      reply: (part: HandOverPart | undefined) => void;
    };

/** Owns the calls to one session of another gateway. Concurrent claims are sent in batches. */
export class PeerLink extends Actor<PeerLinkMessage> {
  readonly #peer: Peer;

  readonly #client: TRPCClient<PeerRouter>;

  #queue: ClaimMessage[] = [];

  #outstanding = 0;

  constructor(scope: ActorScope, peer: Peer) {
    super(scope, `peer-link ${peer.session}`);
    this.#peer = peer;
    this.#client = createTRPCClient<PeerRouter>({
      links: [httpLink({ url: `http://${peer.peerAddress}` })],
    });
  }

  protected override receive(message: PeerLinkMessage): void {
    switch (message.type) {
      case 'claim':
        this.#queue.push(message);
        // `flush` goes to the end of the mailbox, so claims that are already there join the batch.
        if (this.#queue.length === 1) this.send({ type: 'flush' });
        break;
      case 'sent':
        this.#outstanding -= 1;
        this.#flush();
        break;
      case 'flush':
        this.#flush();
        break;
      case 'heartbeat':
        this.#client.heartbeat
          .query(undefined, { signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS) })
          .then(message.reply, () => message.reply(undefined));
        break;
      default:
        this.#client.handOver
          .query(
            { session: message.session, cursor: message.cursor },
            { signal: AbortSignal.timeout(HAND_OVER_TIMEOUT_MS) },
          )
          .then(
            (part) => message.reply(part ?? undefined),
            () => message.reply(undefined),
          );
    }
  }

  override close(): void {
    this.#queue.forEach((claim) => claim.reply(undefined));
    this.#queue = [];
    super.close();
  }

  #flush(): void {
    while (this.#queue.length > 0 && this.#outstanding < MAX_OUTSTANDING_BATCHES) {
      const [{ owner, view }] = this.#queue as [ClaimMessage];
      const isOtherRequest = (claim: ClaimMessage): boolean =>
        claim.owner !== owner || claim.view !== view;
      const end = this.#queue.findIndex(isOtherRequest);
      const size = Math.min(MAX_BATCH_CLAIMS, end < 0 ? this.#queue.length : end);
      this.#sendBatch(this.#queue.splice(0, size), { owner, view });
    }
  }

  #sendBatch(batch: ClaimMessage[], from: { owner: string; view: number }): void {
    this.#outstanding += 1;
    const request = { ...from, member: this.#peer.session, keys: batch.map((claim) => claim.key) };
    this.#client.claim
      .mutate(request, { signal: AbortSignal.timeout(CLAIM_TIMEOUT_MS) })
      .then(
        (answers) => batch.forEach((claim, index) => claim.reply(answers[index])),
        () => batch.forEach((claim) => claim.reply(undefined)),
      )
      .finally(() => this.send({ type: 'sent' }));
  }
}
