import type { Advice, AdviceService } from '../port/mod.js';

/** Calls under way; the service handles one at a time, so another one covers only the transmission. */
const MAX_CALLS = 2;
/** Part of a call's timeout in ms that does not depend on how long the service needs to decide. */
const BASE_TIMEOUT_MS = 2_500;
/** The service may first finish a call that was given up, which takes as long as those it queues. */
const EXPECTED_TIME_FACTOR = 2;

/** A request for advice on a step. */
export interface AdviceRequest {
  /** `JOB.OCCURRENCE.STEP`. */
  step: string;
  hostIds: readonly string[];
  /** Time in ms that the service needs, by the configuration of the queue. */
  expectedMs: number;
}

interface QueuedRequest {
  request: AdviceRequest;
  resolve: (advice: Advice | undefined) => void;
  reject: (error: unknown) => void;
}

/**
 * Sends requests to the advice service in turn. The service handles one call of a node at a time, so
 * the timeout of a call covers what the configuration says that it and the calls before it take, and
 * runs only from when the call is sent.
 *
 * @example
 * ```ts
 * const queue = new AdviceQueue(service, (step) => shard.isAdviceWanted(step));
 * await queue.ask({ step: '5c0e.0.1', hostIds: ['i-1'], expectedMs: 950 });
 * ```
 */
export class AdviceQueue {
  readonly #service: AdviceService;

  readonly #isWanted: (step: string) => boolean;

  readonly #waiting: QueuedRequest[] = [];

  /** Expected times in ms of the calls under way. */
  readonly #underWay: number[] = [];

  #isClosed = false;

  /** @param isWanted Asked before a request is sent; a job may have ended while it waited. */
  constructor(service: AdviceService, isWanted: (step: string) => boolean) {
    this.#service = service;
    this.#isWanted = isWanted;
  }

  /**
   * Requests advice; undefined if it is not wanted any more when its turn comes.
   *
   * @throws if the service does not respond in time or rejects the request.
   */
  ask(request: AdviceRequest): Promise<Advice | undefined> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ request, resolve, reject });
      this.#sendNext();
    });
  }

  /** Sends no further requests; those that wait end without advice. */
  close(): void {
    this.#isClosed = true;
    this.#waiting.splice(0).forEach(({ resolve }) => resolve(undefined));
  }

  #sendNext(): void {
    while (this.#underWay.length < MAX_CALLS) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      const { request, resolve, reject } = next;
      if (!this.#isClosed && this.#isWanted(request.step)) {
        this.#call(request).then(resolve, reject);
      } else resolve(undefined);
    }
  }

  async #call({ step, hostIds, expectedMs }: AdviceRequest): Promise<Advice> {
    this.#underWay.push(expectedMs);
    const sumMs = this.#underWay.reduce((sum, one) => sum + one, 0);
    const timeoutMs = BASE_TIMEOUT_MS + EXPECTED_TIME_FACTOR * sumMs;
    try {
      return await this.#service.askAdvice(step, hostIds, { timeoutMs });
    } finally {
      this.#underWay.splice(this.#underWay.indexOf(expectedMs), 1);
      this.#sendNext();
    }
  }
}
