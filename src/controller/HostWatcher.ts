import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { FleetReplica } from '../fleet/mod.js';
import { HostFailureDetector, type ListedHost } from '../host/mod.js';
import type { LogWriter } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import type { HostListClient } from './HostListClient.js';
import { KnownHostsProjector, type KnownHosts } from './_KnownHostsProjector.js';
import { ProposalDelay } from './ProposalDelay.js';

const POLL_INTERVAL_MS = 2_000;
/**
 * Interval at which an unchanged list is compared, to detect hosts whose waiting times have
 * expired. A comparison visits every host; one per second would take about half of a node's
 * processor budget.
 */
const COMPARE_INTERVAL_MS = 5_000;
/**
 * Controllers above this rank poll and compare less often, unless gateways report hosts to them.
 */
const LAST_FAST_RANK = 2;
/** Comparison interval of the higher ranks; comparing 19,000 hosts takes about 20 ms. */
const SLOW_COMPARE_INTERVAL_MS = 20_000;
/** The higher ranks poll only on every third tick. */
const SLOW_POLL_TICKS = 3;
/** At about 70 bytes per observation, a record stays far below the limit of 64 KiB. */
const OBSERVATIONS_PER_RECORD = 500;

type WatcherMessage =
  | { type: 'tick' }
  | { type: 'list'; list: ListedHost[] }
  | { type: 'known'; known: KnownHosts; list: ListedHost[] }
  | { type: 'failure'; error: Error }
  | { type: 'report'; reporter: string; hosts: string[]; isHealthy: boolean }
  | { type: 'rank'; rank: number };

/** Options of a `HostWatcher`. */
export interface HostWatcherOptions {
  replica: FleetReplica;
  writer: LogWriter;
  client: HostListClient;
  clock: Clock;
}

/**
 * Polls the platform's host list and proposes observations where it differs from the fleet state.
 */
export class HostWatcher extends Actor<WatcherMessage> {
  readonly #options: HostWatcherOptions;

  readonly #failureDetector = new HostFailureDetector();

  readonly #delay = new ProposalDelay();

  readonly #timer: NodeJS.Timeout;

  #rank = Number.POSITIVE_INFINITY;

  #suspectedDataCentres: string[] = [];

  #isPolling = false;

  #tickCount = 0;

  /** Whether gateways have reported hosts. Reports are evaluated only when lists are compared. */
  #hasGatewayReports = false;

  #lastComparison: { list: ListedHost[]; at: number; isUnchanged: boolean } | undefined;

  constructor(scope: ActorScope, options: HostWatcherOptions) {
    super(scope, 'host-watcher');
    this.#options = options;
    this.#timer = setInterval(() => this.send({ type: 'tick' }), POLL_INTERVAL_MS);
  }

  protected override receive(message: WatcherMessage): void {
    const { replica } = this.#options;
    switch (message.type) {
      case 'tick':
        this.#tickCount += 1;
        if (this.#isFastRank || this.#hasGatewayReports || this.#tickCount % SLOW_POLL_TICKS === 0)
          this.#fetchList();
        break;
      case 'list': {
        const { list } = message;
        if (!this.#isComparisonDue(list)) {
          this.#isPolling = false;
          break;
        }
        const emit = (known: KnownHosts): void => this.send({ type: 'known', known, list });
        replica.send({ type: 'project', projector: new KnownHostsProjector(emit) });
        break;
      }
      case 'known':
        this.#isPolling = false;
        this.#compare(message.known, message.list);
        break;
      case 'failure':
        this.#isPolling = false;
        break;
      case 'report':
        this.#hasGatewayReports = true;
        message.hosts.forEach((host) =>
          this.#failureDetector.report({
            host,
            reporter: message.reporter,
            isHealthy: message.isHealthy,
          }),
        );
        break;
      default:
        this.#rank = message.rank;
    }
  }

  override async close(): Promise<void> {
    clearInterval(this.#timer);
    super.close();
    await this.#options.client.close();
  }

  #fetchList(): void {
    if (this.#isPolling) return;
    this.#isPolling = true;
    this.#options.client.fetch().then(
      (list) => this.send({ type: 'list', list }),
      (error: Error) => this.send({ type: 'failure', error }),
    );
  }

  /** Whether the rank is one of the lowest, whose proposals have a short delay. */
  get #isFastRank(): boolean {
    return this.#rank <= LAST_FAST_RANK;
  }

  #isComparisonDue(list: ListedHost[]): boolean {
    const last = this.#lastComparison;
    if (last === undefined || last.list !== list || !last.isUnchanged) return true;
    const intervalMs =
      this.#isFastRank || this.#hasGatewayReports ? COMPARE_INTERVAL_MS : SLOW_COMPARE_INTERVAL_MS;
    return this.#options.clock.readMonotonic() - last.at >= intervalMs;
  }

  #compare({ hosts, suspectedDataCentres: suspected }: KnownHosts, list: ListedHost[]): void {
    const { clock, writer } = this.#options;
    const now = clock.readMonotonic();
    const { observations } = this.#failureDetector.apply(hosts, { list, now });
    suspected
      .filter((dataCentre) => !this.#suspectedDataCentres.includes(dataCentre))
      .forEach((dataCentre) =>
        this.scope.recordEvent({ type: 'dataCentre.suspected', dataCentre }),
      );
    this.#suspectedDataCentres = suspected;
    this.#lastComparison = { list, at: now, isUnchanged: observations.length === 0 };
    if (observations.length === 0) this.#hasGatewayReports = this.#failureDetector.hasReports;
    const bodies: RecordBody[] = [];
    for (let start = 0; start < observations.length; start += OBSERVATIONS_PER_RECORD) {
      const slice = observations.slice(start, start + OBSERVATIONS_PER_RECORD);
      bodies.push({ type: 'host-observed', observations: slice });
    }
    const dueBodies = this.#delay.choose(bodies, { rank: this.#rank, now });
    if (dueBodies.length > 0) {
      const detail = `${observations.length} observations`;
      this.scope.recordEvent({ type: 'host.observed', host: observations[0]?.host, detail });
    }
    writer.send({ type: 'propose', proposer: this.name, bodies: dueBodies });
  }
}
