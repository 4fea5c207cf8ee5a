import { WorkLogKey } from '../workLog/mod.js';
import { BookKeeper } from './WorkLogFollower.js';
import { CallerDesk } from './JobService.js';
import { Candidate } from './ShardCandidate.js';
import type { NodeParts } from './NodeContext.js';
import { OperatorFollower, type OperatorState } from './OperatorFollower.js';
import { RelayClient } from './RelayClient.js';
import { RelayServer } from './RelayServer.js';
import { WorkWriter, type WriteOutcome } from './WorkLogWriter.js';

/** Without news of the store for this time in ms a node asks for no new callers. */
const READY_STATE_AGE_MS = 2_500;

/**
 * One node of the system: takes callers, follows the logs and may own the shard.
 *
 * @example
 * ```ts
 * const node = new Node(parts);
 * node.open();
 * node.isReady; // false until the configuration and the jobs have been read
 * await node.stop();
 * await node.close();
 * ```
 */
export class Node {
  readonly #parts: NodeParts;

  readonly #keeper: BookKeeper;

  readonly #writer: WorkWriter;

  readonly #operator: OperatorFollower;

  readonly #candidate: Candidate;

  readonly #desk: CallerDesk;

  readonly #relay: RelayClient;

  readonly #relayServer: RelayServer;

  #operatorState: OperatorState | undefined;

  #bookFreshAt = -Infinity;

  #isBookCurrent = false;

  #isStopping = false;

  constructor(parts: NodeParts) {
    this.#parts = parts;
    this.#writer = new WorkWriter(parts);
    this.#relay = new RelayClient({
      name: parts.settings.name,
      dataCentre: parts.settings.dataCentre,
      readClock: () => parts.clock.readMonotonic(),
    });
    this.#candidate = new Candidate(parts, {
      random: Math.random,
      onOwning: (isOwner) => this.#keeper.send({ type: 'owning', isOwner }),
      onHurry: () => this.#keeper.send({ type: 'read-now' }),
      isStoreAway: (token) => this.#relay.isStoreAway(token),
    });
    this.#keeper = new BookKeeper(parts, [
      (changes, book, state) => {
        this.#bookFreshAt = state.freshAt;
        this.#isBookCurrent = state.isCurrent;
        changes.forEach((change) => {
          if (change.type === 'node') this.#relay.setPeer(change.name, change.node);
        });
        this.#candidate.applyBook(changes, book, state);
      },
    ]);
    this.#desk = new CallerDesk(parts, {
      keeper: this.#keeper,
      writer: this.#writer,
      relay: this.#relay,
      readContact: (token) => this.#candidate.readContact(token),
    });
    this.#relayServer = new RelayServer(this.#desk);
    this.#operator = new OperatorFollower(parts, (state) => {
      this.#operatorState = state;
      this.#desk.setOperator(state);
      this.#candidate.applyOperator(state);
    });
  }

  /** Answers callers. */
  get desk(): CallerDesk {
    return this.#desk;
  }

  /** The configuration in force; undefined before the first. */
  get configuration(): OperatorState['configuration'] {
    return this.#operatorState?.configuration;
  }

  /** Checks whether the node should get new callers. */
  get isReady(): boolean {
    if (this.#isStopping || this.configuration === undefined || !this.#isBookCurrent) return false;
    const ageMs = this.#parts.clock.readMonotonic() - this.#bookFreshAt;
    return ageMs <= READY_STATE_AGE_MS;
  }

  /** Makes the node known to the others. */
  async open(): Promise<WriteOutcome> {
    const { settings, session } = this.#parts;
    const address =
      settings.peerAddress === undefined ? '' : await this.#relayServer.open(settings.peerAddress);
    const value = JSON.stringify({
      session,
      address,
      dataCentre: settings.dataCentre,
    });
    return this.#writer.ask<WriteOutcome>((reply) => ({
      type: 'write',
      record: { key: WorkLogKey.node(settings.name), value },
      giveUpAt: Infinity,
      reply,
    }));
  }

  /** Reports not ready and hands the shard over; callers are still answered. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#candidate.ask<boolean>((reply) => ({ type: 'stop', reply }), 2_000);
  }

  async close(): Promise<void> {
    this.#candidate.close();
    this.#operator.close();
    this.#keeper.close();
    this.#writer.close();
    await this.#relayServer.close();
  }
}
