import { request } from 'undici';
import { Outcome, Problem } from '../job/mod.js';
import { createIdempotencyKey } from './createIdempotencyKey.js';
import { OutcomeChecker } from './OutcomeChecker.js';

const PAUSE_BETWEEN_REQUESTS_MS = 15;
const REQUEST_TIMEOUT_MS = 8_000;
/** Number of attempts of one key or idempotent request, each at the next gateway. */
const MAX_ATTEMPTS = 4;
/** Share of the keys whose first attempt goes to two gateways at the same time. */
const CONCURRENT_DUPLICATE_SHARE = 0.25;

/** Options of a load generator. */
export interface LoadGeneratorOptions {
  /** Lists the addresses of the gateways; called for each request, since gateways are replaced. */
  listGateways: () => string[];
  path: string;
  callers: number;
  /** Returns a number from 0 to below 1. */
  random: () => number;
}

interface RequestResult {
  outcome: Outcome | 'no answer';
  isWhole: boolean;
}

/**
 * Closed-loop load generator: each caller sends its next request after the response to the last one
 * and a short fixed pause. Half of the callers use idempotency keys and send each key to one gateway
 * after another, in at most `MAX_ATTEMPTS` attempts, until a response reports that the job ran.
 */
export class LoadGenerator {
  readonly outcomeChecker = new OutcomeChecker();

  readonly #options: LoadGeneratorOptions;

  #isRunning = false;

  #callerLoops: Promise<void>[] = [];

  #idempotentRequests = 0;

  #completeResponses = 0;

  /** Number of problem responses by method, status, outcome, title and detail. */
  readonly problems = new Map<string, number>();

  /** Responses with status 200 that belong to another request or are incomplete. */
  readonly wrongResponses: string[] = [];

  constructor(options: LoadGeneratorOptions) {
    this.#options = options;
  }

  /** Share of the idempotent requests with a complete response, after at most `MAX_ATTEMPTS`. */
  get goodput(): number {
    return this.#idempotentRequests === 0 ? 0 : this.#completeResponses / this.#idempotentRequests;
  }

  /** Starts sending. */
  start(): void {
    this.#isRunning = true;
    this.#callerLoops = Array.from({ length: this.#options.callers }, (_, index) =>
      this.#runCaller(index % 2 === 0),
    );
  }

  /** Stops sending and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.#isRunning = false;
    await Promise.all(this.#callerLoops);
  }

  async #runCaller(isKeyed: boolean): Promise<void> {
    while (this.#isRunning) {
      await (isKeyed ? this.#sendKeyedJob() : this.#sendIdempotentRequest());
      await new Promise((resolve) => {
        setTimeout(resolve, PAUSE_BETWEEN_REQUESTS_MS);
      });
    }
  }

  /** Sends a key, to two gateways at once for some keys, and retries it until it is reported as run. */
  async #sendKeyedJob(): Promise<void> {
    const key = createIdempotencyKey();
    const first = this.#chooseGateway();
    const isDuplicated = this.#options.random() < CONCURRENT_DUPLICATE_SHARE;
    const results = await Promise.all(
      (isDuplicated ? [first, first + 1] : [first]).map((gateway) => this.#send(gateway, key)),
    );
    results.forEach(({ outcome }) => this.outcomeChecker.record(key, outcome));
    let hasRun = results.some(({ outcome }) => outcome === 'ran');
    for (let attempt = 1; attempt < MAX_ATTEMPTS && !hasRun; attempt += 1) {
      const { outcome } = await this.#send(first + attempt, key);
      this.outcomeChecker.record(key, outcome);
      hasRun = outcome === 'ran';
    }
  }

  async #sendIdempotentRequest(): Promise<void> {
    this.#idempotentRequests += 1;
    const first = this.#chooseGateway();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const { outcome, isWhole } = await this.#send(first + attempt);
      if (outcome === 'ran' && isWhole) {
        this.#completeResponses += 1;
        return;
      }
    }
  }

  #chooseGateway(): number {
    return Math.floor(this.#options.random() * this.#options.listGateways().length);
  }

  /** Sends one request, a POST if there is a key. The index wraps around the list of gateways. */
  async #send(gatewayIndex: number, key?: string): Promise<RequestResult> {
    const gateways = this.#options.listGateways();
    const gateway = gateways[gatewayIndex % gateways.length];
    const method = key === undefined ? 'GET' : 'POST';
    const path = `${this.#options.path}/${createIdempotencyKey()}`;
    try {
      const answer = await request(`http://${gateway}${path}`, {
        method,
        headers: key === undefined ? {} : { 'idempotency-key': key },
        body: key,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      const text = await answer.body.text();
      const outcome = Outcome.parse(answer.headers['buckthornreach-outcome']);
      if (answer.headers['content-type'] === 'application/problem+json') {
        const { title, detail } = Problem.parse(JSON.parse(text));
        const description = `${method} ${answer.statusCode} ${outcome}: ${title} (${detail ?? ''})`;
        this.problems.set(description, (this.problems.get(description) ?? 0) + 1);
      }
      const isWhole =
        answer.statusCode === 200 && (JSON.parse(text) as { path: string }).path === path;
      if (answer.statusCode === 200 && !isWhole) this.wrongResponses.push(`${path}: ${text}`);
      return { outcome, isWhole };
    } catch {
      return { outcome: 'no answer', isWhole: false };
    }
  }
}
