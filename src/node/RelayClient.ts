import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client';
import type { NodeRecord } from '../workLog/mod.js';
import { fetchJson } from '../net/mod.js';
import type { PeerJobState, RelayRouter } from './RelayRouter.js';
import type { WriteOutcome } from './WorkLogWriter.js';

/** Maximum number of peers that are tried for one record or one job query. */
const MAX_PEER_ATTEMPTS = 2;
/** Maximum number of peers in each data centre that are probed for whether they can append. */
const PROBED_PEERS_PER_DATA_CENTRE = 2;
/** Timeout of a probe in ms; a round trip takes about 5 ms. */
const PROBE_TIMEOUT_MS = 150;
/** Time in ms for which the result of a probe is reused. */
const PROBE_VALID_MS = 100;
/** Time in ms that is added to the append timeout of a peer to wait for its response. */
const RESPONSE_MARGIN_MS = 300;
/** Time in ms for which a peer that could not serve a call is tried last. */
const DEPRIORITIZE_MS = 1_000;
/** Maximum number of peers that are asked whether they can take over the shard. */
const MAX_SUCCESSOR_PROBES = 8;
const FIND_TIMEOUT_MS = 400;
/** Timeout in ms of the check whether a peer is in contact with the store. */
const CONTACT_TIMEOUT_MS = 250;
/** Codes of connection errors, which prove that the call was not sent. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Options of a `RelayClient`. */
export interface RelayClientOptions {
  name: string;
  dataCentre: string;
  readClock: () => number;
  /** Reads the wall clock, in ms since the Unix epoch. */
  readWall: () => number;
}

interface Peer {
  client: TRPCClient<RelayRouter>;
  address: string;
  dataCentre: string;
  deprioritizedUntil: number;
  /** The last probe: when it was sent and whether the peer can append records. */
  ready: { askedAt: number; answer: Promise<boolean> } | undefined;
}

function isUnsent(error: unknown): boolean {
  const cause = error instanceof TRPCClientError ? error.cause : error;
  const { code } = (cause ?? {}) as { code?: string };
  return code !== undefined && UNSENT_ERROR_CODES.has(code);
}

/** Relays writes and job queries to other nodes while this one cannot reach the store. */
export class RelayClient {
  readonly #options: RelayClientOptions;

  readonly #peers = new Map<string, Peer>();

  constructor(options: RelayClientOptions) {
    this.#options = options;
  }

  /** Adds or updates a peer from its node record; undefined removes it. */
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
   * Appends a record through a peer. The record is sent only to a peer that has just reported that
   * it can append: a peer that does not respond would make the outcome unknown, so that the caller
   * could not retry. `computeValidity` tells before each attempt for how long, in ms, the record may
   * still be appended.
   */
  async write(
    { key, value }: { key: string; value: string },
    {
      timeoutMs,
      computeValidity = () => Infinity,
    }: { timeoutMs: number; computeValidity?: (() => number) | undefined },
  ): Promise<WriteOutcome> {
    let outcome: WriteOutcome = 'not-stored';
    const untriedPeers = new Set(this.#choosePeersByDataCentre());
    for (let attempt = 0; attempt < MAX_PEER_ATTEMPTS; attempt += 1) {
      const peer = await this.#findReadyPeer([...untriedPeers]);
      const validMs = computeValidity();
      const limitMs = Math.min(timeoutMs, validMs);
      if (peer === undefined || limitMs <= 0) return outcome;
      untriedPeers.delete(peer);
      const expiresAtMs = validMs === Infinity ? undefined : this.#options.readWall() + validMs;
      const signal = AbortSignal.timeout(limitMs + RESPONSE_MARGIN_MS);
      try {
        const result = await peer.client.write.mutate(
          { key, value, timeoutMs: limitMs, expiresAtMs },
          { signal },
        );
        if (result === 'stored') return result;
        if (result === 'unknown') outcome = 'unknown';
      } catch (error) {
        if (!isUnsent(error)) outcome = 'unknown';
      }
      peer.deprioritizedUntil = this.#options.readClock() + DEPRIORITIZE_MS;
    }
    return outcome;
  }

  /** Checks whether all peers respond and none of them is in contact with the store. */
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

  /**
   * Finds the first of the given peers that can append records; undefined if none of them can. One
   * that responds but cannot append may be stopping, and would claim nothing.
   */
  async findResponsive(names: readonly string[]): Promise<string | undefined> {
    const peers = names.flatMap((name) => {
      const peer = this.#peers.get(name);
      return peer === undefined ? [] : [{ name, peer }];
    });
    const probed = peers.slice(0, MAX_SUCCESSOR_PROBES).map(async ({ name, peer }) => {
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
      return { name, canWrite: await peer.client.ready.query(undefined, { signal }) };
    });
    const settled = await Promise.allSettled(probed);
    const answers = settled.flatMap((one) => (one.status === 'fulfilled' ? [one.value] : []));
    return answers.find(({ canWrite }) => canWrite)?.name;
  }

  /** Queries peers for the state of a job; undefined if none of them has a current state. */
  async findState(id: string): Promise<PeerJobState | undefined> {
    for (const peer of this.#choosePeers()) {
      try {
        const signal = AbortSignal.timeout(FIND_TIMEOUT_MS);
        const found = await peer.client.find.query({ id }, { signal });
        if (found !== null) return found;
      } catch {
        // Try the next peer. If none responds, the caller is told to retry later.
      }
      peer.deprioritizedUntil = this.#options.readClock() + DEPRIORITIZE_MS;
    }
    return undefined;
  }

  /** Chooses peers from every data centre, since a partitioned one cannot reach the store. */
  #choosePeersByDataCentre(): Peer[] {
    const chosen = new Map<string, Peer[]>();
    this.#sortPeers().forEach((peer) => {
      const peers = chosen.get(peer.dataCentre) ?? [];
      if (peers.length < PROBED_PEERS_PER_DATA_CENTRE)
        chosen.set(peer.dataCentre, [...peers, peer]);
    });
    return [...chosen.values()].flat();
  }

  /** Probes peers and returns the first that can append; undefined if none can. */
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
    // A peer that does not respond counts as unable to append, so the known outcome is kept.
    const answer = peer.client.ready.query(undefined, { signal }).catch(() => false);
    // eslint-disable-next-line no-param-reassign -- the peer is owned by the client
    peer.ready = { askedAt: now, answer };
    return answer;
  }

  #choosePeers(): Peer[] {
    return this.#sortPeers().slice(0, MAX_PEER_ATTEMPTS);
  }

  /** Sorts peers: those without a recent failure first, then those of the same data centre. */
  #sortPeers(): Peer[] {
    const now = this.#options.readClock();
    const computeRank = ({ deprioritizedUntil, dataCentre }: Peer): number =>
      (deprioritizedUntil > now ? 2 : 0) + (dataCentre === this.#options.dataCentre ? 0 : 1);
    return [...this.#peers.values()].sort((one, other) => computeRank(one) - computeRank(other));
  }
}
