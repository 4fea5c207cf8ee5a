import { request } from 'undici';
import { Outcome, Problem } from '../job/mod.js';
import { createKey } from './createKey.js';
import { OutcomeLedger } from './OutcomeLedger.js';

const PAUSE_MS = 15;
const TIMEOUT_MS = 8_000;
/** Arrivals of one key: the first and its repeats at other gateways. */
const MAX_ARRIVALS = 4;
/** Share of the keys that are sent to two gateways at the same time. */
const DOUBLED_SHARE = 0.25;

/** Options of a crowd. */
export interface CallerCrowdOptions {
  /** Addresses of gateways; read anew for each request, since gateways are replaced. */
  listGateways: () => string[];
  path: string;
  callers: number;
  /** Returns a number from 0 to below 1. */
  random: () => number;
}

interface Told {
  outcome: Outcome | 'no answer';
  isWhole: boolean;
}

/**
 * Callers that send requests without a pause for thought: half of them with idempotency keys, which
 * they repeat at another gateway until they are told that the job ran.
 */
export class CallerCrowd {
  readonly ledger = new OutcomeLedger();

  readonly #options: CallerCrowdOptions;

  #isRunning = false;

  #tasks: Promise<void>[] = [];

  #reads = 0;

  #goodReads = 0;

  /** Number of answers by status and title of their problem. */
  readonly problems = new Map<string, number>();

  /** Answers that were passed on as whole but belong to another request or are incomplete. */
  readonly wrongAnswers: string[] = [];

  constructor(options: CallerCrowdOptions) {
    this.#options = options;
  }

  /** Share of the idempotent requests that had a whole answer, repeats included. */
  get goodput(): number {
    return this.#reads === 0 ? 0 : this.#goodReads / this.#reads;
  }

  /** Starts to send. */
  start(): void {
    this.#isRunning = true;
    this.#tasks = Array.from({ length: this.#options.callers }, (_, index) =>
      this.#runCaller(index % 2 === 0),
    );
  }

  /** Stops and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.#isRunning = false;
    await Promise.all(this.#tasks);
  }

  async #runCaller(isKeyed: boolean): Promise<void> {
    while (this.#isRunning) {
      await (isKeyed ? this.#sendKeyed() : this.#sendIdempotent());
      await new Promise((resolve) => {
        setTimeout(resolve, PAUSE_MS);
      });
    }
  }

  /** Sends a key to two gateways at once now and then, and repeats it until it is told to have run. */
  async #sendKeyed(): Promise<void> {
    const key = createKey();
    const first = this.#chooseGateway();
    const isDoubled = this.#options.random() < DOUBLED_SHARE;
    const told = await Promise.all(
      (isDoubled ? [first, first + 1] : [first]).map((gateway) => this.#send(gateway, key)),
    );
    told.forEach(({ outcome }) => this.ledger.record(key, outcome));
    let isDone = told.some(({ outcome }) => outcome === 'ran');
    for (let arrival = 1; arrival < MAX_ARRIVALS && !isDone; arrival += 1) {
      const { outcome } = await this.#send(first + arrival, key);
      this.ledger.record(key, outcome);
      isDone = outcome === 'ran';
    }
  }

  async #sendIdempotent(): Promise<void> {
    this.#reads += 1;
    const first = this.#chooseGateway();
    for (let arrival = 0; arrival < MAX_ARRIVALS; arrival += 1) {
      const { outcome, isWhole } = await this.#send(first + arrival);
      if (outcome === 'ran' && isWhole) {
        this.#goodReads += 1;
        return;
      }
    }
  }

  #chooseGateway(): number {
    return Math.floor(this.#options.random() * this.#options.listGateways().length);
  }

  /** Sends one request; with a key it is a POST. Gateways are counted on past the last one. */
  async #send(number: number, key?: string): Promise<Told> {
    const gateways = this.#options.listGateways();
    const gateway = gateways[number % gateways.length];
    const method = key === undefined ? 'GET' : 'POST';
    const path = `${this.#options.path}/${createKey()}`;
    try {
      const answer = await request(`http://${gateway}${path}`, {
        method,
        headers: key === undefined ? {} : { 'idempotency-key': key },
        body: key,
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const text = await answer.body.text();
      const outcome = Outcome.parse(answer.headers['buckthornreach-outcome']);
      if (answer.headers['content-type'] === 'application/problem+json') {
        const { title, detail } = Problem.parse(JSON.parse(text));
        const what = `${method} ${answer.statusCode} ${outcome}: ${title} (${detail ?? ''})`;
        this.problems.set(what, (this.problems.get(what) ?? 0) + 1);
      }
      const isWhole =
        answer.statusCode === 200 && (JSON.parse(text) as { path: string }).path === path;
      if (answer.statusCode === 200 && !isWhole) this.wrongAnswers.push(`${path}: ${text}`);
      return { outcome, isWhole };
    } catch {
      return { outcome: 'no answer', isWhole: false };
    }
  }
}
