import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client';
import type { NodeRecord } from '../workLog/mod.js';
import { fetchJson } from '../net/mod.js';
import type { RelayRouter } from './RelayRouter.js';
import type { WriteOutcome } from './WorkLogWriter.js';

/** Peers that are asked to append one record, or for one job, at most. */
const MAX_PEER_ATTEMPTS = 2;
/** Peers of the own and of each other data centre that are asked whether they can append. */
const PROBED_PEERS_PER_DATA_CENTRE = 2;
/** Longest wait for the answer whether a peer can append, in ms; a round trip takes some 5 ms. */
const PROBE_TIMEOUT_MS = 150;
/** The answer whether a peer can append is used for this time in ms. */
const PROBE_VALID_MS = 100;
/** Longest wait for a peer in ms, beside the time that it may take to append. */
const RESPONSE_MARGIN_MS = 300;
/** Time in ms for which a peer that did not help is asked last. */
const DEPRIORITIZE_MS = 1_000;
const FIND_TIMEOUT_MS = 400;
/** Longest wait for the answer whether a peer is in contact with the store, in ms. */
const CONTACT_TIMEOUT_MS = 250;
/** Errors that mean that the call did not leave this process. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Options of a relay client. */
export interface RelayClientOptions {
  name: string;
  dataCentre: string;
  readClock: () => number;
}

interface Peer {
  client: TRPCClient<RelayRouter>;
  address: string;
  dataCentre: string;
  deprioritizedUntil: number;
  /** Whether the peer can append records, and when it was asked. */
  ready: { askedAt: number; answer: Promise<boolean> } | undefined;
}

function isUnsent(error: unknown): boolean {
  const cause = error instanceof TRPCClientError ? error.cause : error;
  const { code } = (cause ?? {}) as { code?: string };
  return code !== undefined && UNSENT_ERROR_CODES.has(code);
}

/** Lets other nodes append records and tell states while this one cannot reach the store. */
export class RelayClient {
  readonly #options: RelayClientOptions;

  readonly #peers = new Map<string, Peer>();

  constructor(options: RelayClientOptions) {
    this.#options = options;
  }

  /** Takes a node's record; undefined when it is gone. */
  setPeer(name: string, node: NodeRecord | undefined): void {
    if (node === undefined || node.address === '' || name === this.#options.name) {
      this.#peers.delete(name);
      return;
    }
    if (this.#peers.get(name)?.address === node.address) return;
    this.#peers.set(name, {
      client: createTRPCClient<RelayRouter>({
        links: [httpLink({ url: `http://${node.address}`, fetch: fetchJson })],
      }),
      address: node.address,
      dataCentre: node.dataCentre,
      deprioritizedUntil: 0,
      ready: undefined,
    });
  }

  /**
   * Lets a peer append a record. Only a peer that has just said that it can is given the record: one
   * that does not answer would leave the outcome unknown, and the caller could not try again.
   */
  async write(key: string, value: string, timeoutMs: number): Promise<WriteOutcome> {
    let outcome: WriteOutcome = 'not-stored';
    const untriedPeers = new Set(this.#choosePeersByDataCentre());
    for (let attempt = 0; attempt < MAX_PEER_ATTEMPTS; attempt += 1) {
      const peer = await this.#findReadyPeer([...untriedPeers]);
      if (peer === undefined) return outcome;
      untriedPeers.delete(peer);
      const signal = AbortSignal.timeout(timeoutMs + RESPONSE_MARGIN_MS);
      try {
        const result = await peer.client.write.mutate({ key, value, timeoutMs }, { signal });
        if (result === 'stored') return result;
        if (result === 'unknown') outcome = 'unknown';
      } catch (error) {
        if (!isUnsent(error)) outcome = 'unknown';
      }
      peer.deprioritizedUntil = this.#options.readClock() + DEPRIORITIZE_MS;
    }
    return outcome;
  }

  /** Checks whether every peer answers and none of them is in contact with the store. */
  async isStoreUnreachable(token: number): Promise<boolean> {
    if (this.#peers.size === 0) return false;
    const answers = [...this.#peers.values()].map(async ({ client }) => {
      const signal = AbortSignal.timeout(CONTACT_TIMEOUT_MS);
      const isInContact = await client.contact.query({ token }, { signal });
      return !isInContact;
    });
    const settled = await Promise.allSettled(answers);
    return settled.every((answer) => answer.status === 'fulfilled' && answer.value);
  }

  /** Asks peers for the state of a job; undefined where none of them has a current state. */
  async findState(id: string): Promise<{ state: string | null; queue: string | null } | undefined> {
    for (const peer of this.#choosePeers()) {
      try {
        const signal = AbortSignal.timeout(FIND_TIMEOUT_MS);
        const found = await peer.client.find.query({ id }, { signal });
        if (found !== null) return found;
      } catch {
        // The next peer may answer; without an answer the caller is told to come back.
      }
      peer.deprioritizedUntil = this.#options.readClock() + DEPRIORITIZE_MS;
    }
    return undefined;
  }

  /** Chooses some peers of each data centre, since one that is cut off cannot help. */
  #choosePeersByDataCentre(): Peer[] {
    const chosen = new Map<string, Peer[]>();
    this.#sortPeers().forEach((peer) => {
      const peers = chosen.get(peer.dataCentre) ?? [];
      if (peers.length < PROBED_PEERS_PER_DATA_CENTRE)
        chosen.set(peer.dataCentre, [...peers, peer]);
    });
    return [...chosen.values()].flat();
  }

  /** Finds the first of the peers to say that it can append; undefined when none does. */
  #findReadyPeer(peers: readonly Peer[]): Promise<Peer | undefined> {
    return new Promise((resolve) => {
      const answers = peers.map(async (peer) => {
        if (await this.#probe(peer)) resolve(peer);
      });
      Promise.allSettled(answers).then(() => resolve(undefined));
    });
  }

  #probe(peer: Peer): Promise<boolean> {
    const now = this.#options.readClock();
    if (peer.ready !== undefined && now - peer.ready.askedAt < PROBE_VALID_MS) {
      return peer.ready.answer;
    }
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    // A peer that does not answer cannot help; the caller gets the outcome that is known here.
    const answer = peer.client.ready.query(undefined, { signal }).catch(() => false);
    // eslint-disable-next-line no-param-reassign -- the peer is owned by the client
    peer.ready = { askedAt: now, answer };
    return answer;
  }

  #choosePeers(): Peer[] {
    return this.#sortPeers().slice(0, MAX_PEER_ATTEMPTS);
  }

  /** Sorts peers: those that have not failed lately first, then those of the own data centre. */
  #sortPeers(): Peer[] {
    const now = this.#options.readClock();
    const computeRank = ({ deprioritizedUntil, dataCentre }: Peer): number =>
      (deprioritizedUntil > now ? 2 : 0) + (dataCentre === this.#options.dataCentre ? 0 : 1);
    return [...this.#peers.values()].sort((one, other) => computeRank(one) - computeRank(other));
  }
}
