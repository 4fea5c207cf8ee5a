import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { createControllerClient, type ControllerClient } from '../controller/mod.js';
import { compareDocument, type FleetSummary } from '../fleet/mod.js';
import { explainSubject, formatExplanation, type Subject } from '../timeline/mod.js';
import { DemoFleet } from './DemoFleet.js';

const POLL_INTERVAL_MS = 50;
/** Each step gives up after this time, so that the demo ends by itself in under 20 s. */
const STEP_TIMEOUT_MS = 3_000;
const REQUESTS = 4;
const REQUEST_TIMEOUT_MS = 2_500;
/** The lines of an explanation that fit on a screen together with the rest. */
const MAX_EXPLAINED = 14;

/** Prints one line or several. */
export type LinePrinter = (text: string) => void;

interface Reply {
  status: number;
  outcome: string;
  host: string;
  id: string;
}

async function sendRequest(gateway: string, path: string): Promise<Reply> {
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

function hasServing(summary: FleetSummary, pool: string, count: number): boolean {
  return summary.pools.some((one) => one.pool === pool && one.serving >= count);
}

/** One run of the demo over an open fleet. */
class DemoRun {
  readonly #fleet: DemoFleet;

  readonly #print: LinePrinter;

  readonly #client: ControllerClient;

  #replies = 0;

  constructor(fleet: DemoFleet, print: LinePrinter) {
    this.#fleet = fleet;
    this.#print = print;
    this.#client = createControllerClient(fleet.sites[0]?.controller ?? '');
  }

  async run(): Promise<void> {
    const { hosts, sites } = this.#fleet;
    this.#print(`1. ${hosts.length} upstream hosts in ${sites.length} data centres are up:`);
    sites.forEach(({ dataCentre, controller, gateway }) =>
      this.#print(`   ${dataCentre}: gateway ${gateway}, controller ${controller}`),
    );
    this.#print('\n2. Load an inventory and rules: "match" needs 4 hosts, "contracts" needs 1.');
    await this.#applyNeed(4);
    await this.#showFleet((summary) => hasServing(summary, 'match', 4));
    this.#print('\n3. Callers send requests to both gateways.');
    await this.#sendRequests();
    this.#print('\n4. The rules change: "match" needs 5 hosts, so one more host moves to it.');
    await this.#applyNeed(5);
    await this.#showFleet((summary) => hasServing(summary, 'match', 5));
    await this.#showFailure();
    this.#fleet.faults.forEach((fault) => this.#print(`fault: ${fault}`));
    this.#print(`\nDone: ${this.#replies} requests had an answer with a truthful outcome.`);
  }

  async #applyNeed(need: number): Promise<void> {
    const current = await this.#client.snapshot.query();
    const operations = compareDocument(this.#fleet.buildDocument(need), current);
    const baseRevision = current.revision;
    const change = { baseRevision, operations, operator: 'demo' };
    const { verdict, revision } = await this.#client.change.mutate(change);
    this.#print(`   ${operations.length} operation(s) ${verdict.outcome}, revision ${revision}`);
  }

  async #showFleet(isReady: (summary: FleetSummary) => boolean): Promise<void> {
    let summary = await this.#client.fleet.query();
    const end = performance.now() + STEP_TIMEOUT_MS;
    while (!isReady(summary) && performance.now() < end) {
      await sleep(POLL_INTERVAL_MS);
      summary = await this.#client.fleet.query();
    }
    summary.pools.forEach(({ pool, need, serving, hosts }) =>
      this.#print(`   ${pool}: needs ${need}, has ${hosts}, ${serving} serve`),
    );
    if (!isReady(summary)) this.#print('   (the hosts are still moving)');
  }

  /** Sends requests to each gateway; the first ones wait until the gateway knows the service. */
  async #sendRequests(): Promise<Reply[]> {
    const replies: Reply[] = [];
    for (const { dataCentre, gateway } of this.#fleet.sites) {
      const end = performance.now() + STEP_TIMEOUT_MS;
      for (let index = 1; index <= REQUESTS && performance.now() < end;) {
        const reply = await sendRequest(gateway, `/match/${index}`);
        if (reply.status === 404 || reply.status === 503) {
          await sleep(POLL_INTERVAL_MS);
          continue;
        }
        replies.push(reply);
        index += 1;
        const { status, outcome, host } = reply;
        this.#print(`   ${dataCentre}: status ${status}, outcome ${outcome}, host ${host}`);
      }
    }
    this.#replies += replies.length;
    return replies;
  }

  async #showFailure(): Promise<void> {
    const host = this.#findUsedHost();
    this.#print(`\n5. The upstream of ${host} is killed; requests go on.`);
    await this.#fleet.stopUpstream(host);
    await this.#sendRequests();
    await this.#client.append.mutate({
      body: { type: 'host-observed', observations: [{ host, status: 'failed' }] },
    });
    this.#print('\n6. The host is reported as failed. What the time line explains of it:');
    this.#explain({ kind: 'host', name: host });
    const failed = this.#fleet
      .listTimelines()
      .flat()
      .find((event) => event.type === 'request.failed' && event.host === host);
    if (failed?.request === undefined) return;
    this.#print('\n7. And of a request that met it:');
    this.#explain({ kind: 'request', name: failed.request });
  }

  #findUsedHost(): string {
    const events = this.#fleet.listTimelines().flat();
    const used = events.findLast((event) => event.type === 'request.answered');
    return used?.host ?? this.#fleet.hosts[0]?.name ?? '';
  }

  #explain(subject: Subject): void {
    const lines = formatExplanation(explainSubject(this.#fleet.listTimelines(), subject)).split(
      '\n',
    );
    const hidden = lines.length - MAX_EXPLAINED;
    if (hidden > 0) this.#print(`   (${hidden} earlier steps)`);
    lines.slice(-MAX_EXPLAINED).forEach((line) => this.#print(`   ${line}`));
  }
}

/**
 * Runs the demo: opens a small fleet, serves requests, moves a host, kills an upstream, explains.
 *
 * @param print Receives each line of text.
 * @example
 * ```ts
 * await runDemo((line) => process.stdout.write(`${line}\n`));
 * ```
 */
export async function runDemo(print: LinePrinter): Promise<void> {
  const fleet = new DemoFleet();
  try {
    await fleet.open();
    await new DemoRun(fleet, print).run();
  } finally {
    await fleet.close();
  }
}
