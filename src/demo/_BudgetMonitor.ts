import type { DemoStage } from './DemoContext.js';

/** Follows a pool through a scenario: its budget, and the hosts that come back from a reboot. */
export class BudgetWatch {
  readonly #stage: DemoStage;

  readonly #pool: string;

  readonly #absent = new Set<string>();

  /** Hosts that are down for good; they do not come back. */
  readonly lost = new Set<string>();

  /** Most hosts that were unavailable at once, as far as was seen. */
  mostUnavailable = 0;

  /** Fewest hosts that served at once, as far as was seen, since all of them did. */
  leastServing = Infinity;

  constructor(stage: DemoStage, pool: string) {
    this.#stage = stage;
    this.#pool = pool;
  }

  /** Looks at the pool once, and reports reboots that began or ended since. */
  async update(): Promise<void> {
    const figures = await this.#stage.readPool(this.#pool);
    if (figures !== undefined) {
      this.mostUnavailable = Math.max(this.mostUnavailable, figures.unavailable);
      const hasBegun = Number.isFinite(this.leastServing) || figures.serving === figures.target;
      if (hasBegun) this.leastServing = Math.min(this.leastServing, figures.serving);
    }
    const present = new Set(this.#stage.fleet.listPresent());
    for (const { name } of this.#stage.fleet.hosts) {
      if (!this.lost.has(name) && !present.has(name) && !this.#absent.has(name)) {
        this.#absent.add(name);
        this.#stage.print(`   ${name} reboots`);
        await this.#stage.report([name], 'failed');
      } else if (present.has(name) && this.#absent.delete(name)) {
        this.#stage.print(`   ${name} is back`);
        await this.#stage.report([name], 'live');
      }
    }
  }

  /** Lists the hosts of the pool that are away for maintenance. */
  async listAway(): Promise<string[]> {
    const waves = await this.#stage.client.waves.query();
    return waves.flatMap(({ pool, hosts }) =>
      pool === this.#pool
        ? hosts.filter(({ step }) => step === 'away').map(({ host }) => host)
        : [],
    );
  }
}
