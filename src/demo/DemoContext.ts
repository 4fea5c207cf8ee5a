import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { createControllerClient, type ControllerClient } from '../controller/mod.js';
import { compareDocument, type FleetSummary, type VerdictResponse } from '../fleet/mod.js';
import type { FleetDocument } from '../settings/mod.js';
import { explainSubject, formatExplanation, type Subject } from '../timeline/mod.js';
import type { DemoFleet } from './DemoFleet.js';

const POLL_INTERVAL_MS = 50;
/** Limit for all waits of a scenario together, so that it ends in under 20 s. */
const SCENARIO_TIMEOUT_MS = 16_000;
const REQUESTS_PER_GATEWAY = 4;
const REQUEST_TIMEOUT_MS = 2_500;
/** Keeps an explanation and the other output of a scenario on one screen. */
const MAX_EXPLANATION_LINES = 14;

/** Prints one line or several. */
export type LinePrinter = (text: string) => void;

/** Reply to a request of the demo. */
export interface DemoReply {
  status: number;
  outcome: string;
  host: string;
  id: string;
}

async function sendRequest(gateway: string, path: string): Promise<DemoReply> {
  const answer = await request(`http://${gateway}${path}`, {
    method: 'POST',
    body: randomUUID(),
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });
  const body = (await answer.body.json()) as {
    host?: string;
    requestId?: string;
    outcome?: string;
  };
  return {
    status: answer.statusCode,
    outcome: String(answer.headers['buckthornreach-outcome'] ?? body.outcome),
    host: body.host ?? '-',
    id: String(answer.headers['x-request-id'] ?? body.requestId),
  };
}

/**
 * Context of a demo scenario: the fleet, clients of its controllers and the checks of the claims
 * that the scenario makes. A claim that is not true is printed and makes the demo fail.
 *
 * @example
 * ```ts
 * const context = new DemoContext(fleet, print);
 * const hasHosts = async () => (await context.readPool('match'))?.hosts === 4;
 * await context.waitFor('match has 4 hosts', hasHosts);
 * context.hasFailed; // false if the claim is true
 * ```
 */
export class DemoContext {
  readonly fleet: DemoFleet;

  readonly print: LinePrinter;

  /** One client per controller. */
  readonly clients: readonly ControllerClient[];

  readonly #deadline = performance.now() + SCENARIO_TIMEOUT_MS;

  #failedChecks = 0;

  constructor(fleet: DemoFleet, print: LinePrinter) {
    this.fleet = fleet;
    this.print = print;
    this.clients = fleet.sites.map(({ controller }) => createControllerClient(controller));
  }

  /** Whether any claim was not true. */
  get hasFailed(): boolean {
    return this.#failedChecks > 0;
  }

  /** Client of the first controller, which scenarios use by default. */
  get client(): ControllerClient {
    return this.clients[0] as ControllerClient;
  }

  /** Checks a claim and prints the result. */
  check(claim: string, holds: boolean): void {
    if (!holds) this.#failedChecks += 1;
    this.print(`   ${holds ? 'true' : 'NOT TRUE'}: ${claim}`);
  }

  /** Waits until a condition holds or the scenario times out, and checks it as a claim. */
  async waitFor(claim: string, condition: () => Promise<boolean>): Promise<void> {
    let holds = await condition();
    while (!holds && performance.now() < this.#deadline) {
      await sleep(POLL_INTERVAL_MS);
      holds = await condition();
    }
    this.check(claim, holds);
  }

  /** Applies a document to the current revision through a controller. */
  async apply(document: FleetDocument, client = this.client): Promise<VerdictResponse> {
    const current = await client.snapshot.query();
    const operations = compareDocument(document, current);
    const change = { baseRevision: current.revision, operations, operator: 'demo' };
    const answer = await client.change.mutate(change);
    const { outcome } = answer.verdict;
    this.print(`   ${operations.length} operation(s) ${outcome}, revision ${answer.revision}`);
    return answer;
  }

  /** Reads the summary of one pool. */
  async readPool(name: string): Promise<FleetSummary['pools'][number] | undefined> {
    const { pools } = await this.client.fleet.query();
    return pools.find(({ pool }) => pool === name);
  }

  /** Waits until a pool has enough serving hosts, and prints all pools. */
  async waitForServing(name: string, count: number): Promise<void> {
    await this.waitFor(
      `${count} hosts of "${name}" serve`,
      async () => ((await this.readPool(name))?.serving ?? 0) >= count,
    );
    (await this.client.fleet.query()).pools.forEach(({ pool, need, serving, hosts }) =>
      this.print(`   ${pool}: needs ${need}, has ${hosts}, ${serving} serve`),
    );
  }

  /**
   * Reports hosts as failed or live, as gateways do. From the host list alone, the controllers
   * detect a failure after 10 s and a recovery after 30 s.
   */
  async report(hosts: readonly string[], status: 'live' | 'failed'): Promise<void> {
    const observations = hosts.map((host) => ({ host, status }));
    await this.client.append.mutate({ body: { type: 'host-observed', observations } });
  }

  /** Sends requests to each gateway, retrying until the gateway can serve them. */
  async sendRequests(): Promise<DemoReply[]> {
    const replies: DemoReply[] = [];
    for (const { dataCentre, gateway } of this.fleet.sites) {
      for (let index = 1; index <= REQUESTS_PER_GATEWAY && performance.now() < this.#deadline;) {
        const reply = await sendRequest(gateway, `/match/${index}`);
        if (reply.status === 404 || reply.status === 503) {
          await sleep(POLL_INTERVAL_MS);
          continue;
        }
        replies.push(reply);
        index += 1;
        const { status, outcome, host } = reply;
        this.print(`   ${dataCentre}: status ${status}, outcome ${outcome}, host ${host}`);
      }
    }
    this.check(
      'every request was answered with an outcome',
      replies.length === REQUESTS_PER_GATEWAY * this.fleet.sites.length &&
        replies.every(({ outcome }) => ['ran', 'not-run', 'unknown'].includes(outcome)),
    );
    return replies;
  }

  /** Prints the last steps of an explanation. */
  explain(subject: Subject): void {
    const steps = explainSubject(this.fleet.listTimelines(), subject);
    this.check(`the timeline explains ${subject.kind} "${subject.name}"`, steps.length > 0);
    const lines = formatExplanation(steps).split('\n');
    const hidden = lines.length - MAX_EXPLANATION_LINES;
    if (hidden > 0) this.print(`   (${hidden} earlier steps)`);
    lines.slice(-MAX_EXPLANATION_LINES).forEach((line) => this.print(`   ${line}`));
  }
}
