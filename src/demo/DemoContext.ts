import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { createControllerClient, type ControllerClient } from '../controller/mod.js';
import { compareDocument, type FleetSummary, type VerdictResponse } from '../fleet/mod.js';
import type { FleetDocument } from '../settings/mod.js';
import { explainSubject, formatExplanation, type Subject } from '../timeline/mod.js';
import type { DemoFleet } from './DemoFleet.js';

const POLL_INTERVAL_MS = 50;
/** All waits of a scenario end by then, so that it ends by itself in under 20 s. */
const SCENARIO_TIMEOUT_MS = 16_000;
const REQUESTS = 4;
const REQUEST_TIMEOUT_MS = 2_500;
/** The lines of an explanation that fit on a screen together with the rest. */
const MAX_EXPLAINED = 14;

/** Prints one line or several. */
export type LinePrinter = (text: string) => void;

/** The answer to a request of the demo. */
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
 * What the scenarios of the demo share: the fleet, its controllers, and the claims that a scenario
 * makes. A claim that does not come true is printed and makes the demo fail.
 *
 * @example
 * ```ts
 * const stage = new DemoStage(fleet, print);
 * await stage.waitFor('match to have 4 hosts', async () => (await stage.readPool('match')).hosts === 4);
 * stage.hasFailed; // false when it came true
 * ```
 */
export class DemoStage {
  readonly fleet: DemoFleet;

  readonly print: LinePrinter;

  /** A client of each controller. */
  readonly clients: readonly ControllerClient[];

  readonly #end = performance.now() + SCENARIO_TIMEOUT_MS;

  #failures = 0;

  constructor(fleet: DemoFleet, print: LinePrinter) {
    this.fleet = fleet;
    this.print = print;
    this.clients = fleet.sites.map(({ controller }) => createControllerClient(controller));
  }

  /** Whether a claim did not come true. */
  get hasFailed(): boolean {
    return this.#failures > 0;
  }

  /** The controller that the scenarios ask. */
  get client(): ControllerClient {
    return this.clients[0] as ControllerClient;
  }

  /** Checks a claim and prints it. */
  check(claim: string, holds: boolean): void {
    if (!holds) this.#failures += 1;
    this.print(`   ${holds ? 'true' : 'NOT TRUE'}: ${claim}`);
  }

  /** Waits until a condition holds, and checks it as a claim. */
  async waitFor(claim: string, condition: () => Promise<boolean>): Promise<void> {
    let holds = await condition();
    while (!holds && performance.now() < this.#end) {
      await sleep(POLL_INTERVAL_MS);
      holds = await condition();
    }
    this.check(claim, holds);
  }

  /** Applies a document with the newest revision through a controller. */
  async apply(document: FleetDocument, client = this.client): Promise<VerdictResponse> {
    const current = await client.snapshot.query();
    const operations = compareDocument(document, current);
    const change = { baseRevision: current.revision, operations, operator: 'demo' };
    const answer = await client.change.mutate(change);
    const { outcome } = answer.verdict;
    this.print(`   ${operations.length} operation(s) ${outcome}, revision ${answer.revision}`);
    return answer;
  }

  /** Reads the figures of one pool. */
  async readPool(name: string): Promise<FleetSummary['pools'][number] | undefined> {
    const { pools } = await this.client.fleet.query();
    return pools.find(({ pool }) => pool === name);
  }

  /** Waits until a pool has hosts in service, and prints the pools. */
  async waitForServing(name: string, count: number): Promise<void> {
    await this.waitFor(
      `${count} hosts of "${name}" serve`,
      async () => ((await this.readPool(name))?.serving ?? 0) >= count,
    );
    (await this.client.fleet.query()).pools.forEach(({ pool, need, serving, hosts }) =>
      this.print(`   ${pool}: needs ${need}, has ${hosts}, ${serving} serve`),
    );
  }

  /** Reports hosts as failed or live, as gateways do; the host list alone takes 10 s and 30 s. */
  async report(hosts: readonly string[], status: 'live' | 'failed'): Promise<void> {
    const observations = hosts.map((host) => ({ host, status }));
    await this.client.append.mutate({ body: { type: 'host-observed', observations } });
  }

  /** Sends requests to each gateway; the first ones wait until the gateway knows the service. */
  async sendRequests(): Promise<DemoReply[]> {
    const replies: DemoReply[] = [];
    for (const { dataCentre, gateway } of this.fleet.sites) {
      for (let index = 1; index <= REQUESTS && performance.now() < this.#end;) {
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
      'every request had an answer with an outcome',
      replies.length === REQUESTS * this.fleet.sites.length &&
        replies.every(({ outcome }) => ['ran', 'not-run', 'unknown'].includes(outcome)),
    );
    return replies;
  }

  /** Prints the last steps of an explanation. */
  explain(subject: Subject): void {
    const steps = explainSubject(this.fleet.listTimelines(), subject);
    this.check(`the time line explains ${subject.kind} "${subject.name}"`, steps.length > 0);
    const lines = formatExplanation(steps).split('\n');
    const hidden = lines.length - MAX_EXPLAINED;
    if (hidden > 0) this.print(`   (${hidden} earlier steps)`);
    lines.slice(-MAX_EXPLAINED).forEach((line) => this.print(`   ${line}`));
  }
}
