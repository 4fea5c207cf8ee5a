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

/** Time after which a call to a silent store counts as unanswered, in ms. */
const SILENT_MS = 300;

/** The connection of one node to an emulated store. */
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
    await this.#pass();
    const answer = this.#store.append(records, options);
    if (this.#store.getMode(this.#node) === 'losing-answers') {
      await StoreConnection.#wait(SILENT_MS);
      throw new StoreUnansweredError('the answer was lost');
    }
    return answer;
  }

  override async read(
    topic: StoreTopic,
    from: number,
    { waitMs = 0 }: ReadOptions = {},
  ): Promise<ReadResponse> {
    await this.#pass();
    const answer = await this.#store.read(topic, from, waitMs);
    await this.#pass();
    return answer;
  }

  override async readNewest(topic: StoreTopic): Promise<NewestPage> {
    await this.#pass();
    return this.#store.readNewest(topic);
  }

  override async publishWave(
    wave: number,
    state: 'running' | 'completed',
  ): Promise<AppendResponse> {
    await this.#pass();
    return this.#store.publish(wave, state);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  /** Fails as the mode of the store says; otherwise lets the call through after a turn. */
  async #pass(): Promise<void> {
    await StoreConnection.#wait(1);
    const mode = this.#store.getMode(this.#node);
    if (mode === 'refusing') throw new StoreRefusedError('the store refuses calls');
    if (mode === 'silent') {
      await StoreConnection.#wait(SILENT_MS);
      throw new StoreUnansweredError('the store does not answer');
    }
  }

  static #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }
}
