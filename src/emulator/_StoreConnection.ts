import {
  Store,
  StoreRefusedError,
  StoreUnansweredError,
  type AppendResponse,
  type AppendOptions,
  type KeyedValue,
  type NewestPage,
  type ReadResponse,
  type ReadOptions,
  type StoreTopic,
} from '../port/mod.js';
import type { EmulatedStore } from './EmulatedStore.js';

/** Time in ms after which an unanswered call fails. */
const UNANSWERED_TIMEOUT_MS = 300;
/** Timeout in ms of an append whose caller sets none. */
const CALL_TIMEOUT_MS = 1_000;

/** Connection of one node to an emulated store. */
export class StoreConnection extends Store {
  readonly #store: EmulatedStore;

  readonly #node: string;

  constructor(store: EmulatedStore, node: string) {
    super();
    this.#store = store;
    this.#node = node;
  }

  override async append(
    records: readonly KeyedValue[],
    options: AppendOptions = {},
  ): Promise<AppendResponse> {
    this.#store.sent.push({ node: this.#node, keys: records.map(({ key }) => key) });
    await this.#applyMode();
    if (this.#store.latencyMs > 0) return this.#appendSlowly(records, options);
    const delayMs = this.#store.takeAppendDelay(this.#node);
    if (delayMs !== undefined) {
      setTimeout(() => this.#store.append(records, options), delayMs);
      await StoreConnection.#wait(UNANSWERED_TIMEOUT_MS);
      throw new StoreUnansweredError('the append is executed late');
    }
    const answer = this.#store.append(records, options);
    if (this.#store.getMode(this.#node) === 'losing-answers') {
      await StoreConnection.#wait(UNANSWERED_TIMEOUT_MS);
      throw new StoreUnansweredError('the answer was lost');
    }
    return answer;
  }

  /** Appends after those that wait; the append is executed also if the node has given up on it. */
  async #appendSlowly(
    records: readonly KeyedValue[],
    options: AppendOptions,
  ): Promise<AppendResponse> {
    const takesMs = this.#store.reserveAppend();
    if (takesMs === undefined) {
      await StoreConnection.#wait(this.#store.latencyMs);
      return { type: 'refused', reason: 'too many appends wait' };
    }
    const executed = StoreConnection.#wait(takesMs).then(() =>
      this.#store.append(records, options),
    );
    const timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
    if (takesMs <= timeoutMs) return executed;
    await StoreConnection.#wait(timeoutMs);
    throw new StoreUnansweredError('the store is slow');
  }

  override async read(
    topic: StoreTopic,
    from: number,
    { waitMs = 0 }: ReadOptions = {},
  ): Promise<ReadResponse> {
    await this.#applyMode();
    const answer = await this.#store.read(topic, from, waitMs);
    await StoreConnection.#wait(this.#store.latencyMs);
    await this.#applyMode();
    return answer;
  }

  override async readNewest(topic: StoreTopic): Promise<NewestPage> {
    await this.#applyMode();
    return this.#store.readNewest(topic);
  }

  override async publishWave(
    wave: number,
    state: 'running' | 'completed',
  ): Promise<AppendResponse> {
    await this.#applyMode();
    return this.#store.publish(wave, state);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  /** Waits for 1 ms, then throws the error of the fault mode, if any. */
  async #applyMode(): Promise<void> {
    await StoreConnection.#wait(1);
    const mode = this.#store.getMode(this.#node);
    if (mode === 'resetting') throw new StoreUnansweredError('the connection was reset');
    if (mode === 'refusing') throw new StoreRefusedError('the store refuses calls');
    if (mode === 'silent') {
      await StoreConnection.#wait(UNANSWERED_TIMEOUT_MS);
      throw new StoreUnansweredError('the store does not answer');
    }
  }

  static #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }
}
