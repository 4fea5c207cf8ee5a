import type { DemoContext } from './DemoContext.js';

/** Monitors the availability of a pool during a scenario and reports the reboots of its hosts. */
export class BudgetMonitor {
  readonly #context: DemoContext;

  readonly #pool: string;

  readonly #rebooting = new Set<string>();

  /** Hosts that are permanently down and are not reported as rebooting. */
  readonly lost = new Set<string>();

  /** Highest observed number of unavailable hosts. */
  maxUnavailable = 0;

  /** Lowest observed number of serving hosts, from the time that the target was reached. */
  minServing = Infinity;

  constructor(context: DemoContext, pool: string) {
    this.#context = context;
    this.#pool = pool;
  }

  /** Samples the pool and reports reboots that began or ended since the last call. */
  async update(): Promise<void> {
    const figures = await this.#context.readPool(this.#pool);
    if (figures !== undefined) {
      this.maxUnavailable = Math.max(this.maxUnavailable, figures.unavailable);
      const wasFullyServing =
        Number.isFinite(this.minServing) || figures.serving === figures.target;
      if (wasFullyServing) this.minServing = Math.min(this.minServing, figures.serving);
    }
    const present = new Set(this.#context.fleet.listPlatformHosts());
    for (const { name } of this.#context.fleet.hosts) {
      if (!this.lost.has(name) && !present.has(name) && !this.#rebooting.has(name)) {
        this.#rebooting.add(name);
        this.#context.print(`   ${name} reboots`);
        await this.#context.report([name], 'failed');
      } else if (present.has(name) && this.#rebooting.delete(name)) {
        this.#context.print(`   ${name} is back`);
        await this.#context.report([name], 'live');
      }
    }
  }

  /** Lists the hosts of the pool that are currently away for maintenance. */
  async listAway(): Promise<string[]> {
    const waves = await this.#context.client.waves.query();
    return waves.flatMap(({ pool, hosts }) =>
      pool === this.#pool
        ? hosts.filter(({ step }) => step === 'away').map(({ host }) => host)
        : [],
    );
  }
}
