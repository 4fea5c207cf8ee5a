import { DeadlineQueue, type Queued } from './_DeadlineQueue.js';

/** Teams that are not configured share one queue, so that invented names gain no share. */
export const OTHER_TEAMS = '(other)';

interface TeamQueue {
  team: string;
  quota: number;
  /** Jobs that the team may still start in this round. */
  deficit: number;
  entries: DeadlineQueue;
}

/** The queues of one urgency: deficit round robin over teams, in the order of deadlines inside. */
export class TeamQueues {
  #quotas: ReadonlyMap<string, number> = new Map();

  readonly #teams = new Map<string, TeamQueue>();

  /** Teams with queued jobs in the order of the round; the first is served. */
  readonly #round: TeamQueue[] = [];

  #size = 0;

  get size(): number {
    return this.#size;
  }

  setQuotas(quotas: ReadonlyMap<string, number>): void {
    this.#quotas = quotas;
    this.#round.forEach((queue) => {
      // eslint-disable-next-line no-param-reassign -- the queue is owned by this object.
      queue.quota = quotas.get(queue.team) ?? 1;
    });
  }

  /** The name under which the jobs of a team are queued. */
  getQueueName(team: string): string {
    return this.#quotas.has(team) ? team : OTHER_TEAMS;
  }

  add(entry: Queued): void {
    let queue = this.#teams.get(entry.team);
    if (queue === undefined) {
      const quota = this.#quotas.get(entry.team) ?? 1;
      queue = { team: entry.team, quota, deficit: 0, entries: new DeadlineQueue() };
      this.#teams.set(entry.team, queue);
      this.#round.push(queue);
    }
    queue.entries.add(entry);
    this.#size += 1;
  }

  /** Takes the next entry of the round. */
  take(): Queued | undefined {
    if (this.#size === 0) return undefined;
    if ((this.#round[0] as TeamQueue).deficit < 1) this.#give();
    const queue = this.#round[0] as TeamQueue;
    queue.deficit -= 1;
    const entry = this.remove(queue.team, (queue.entries.first as Queued).id);
    // A team that used up its quantum goes to the end of the round.
    if (queue.deficit < 1 && this.#round[0] === queue) {
      this.#round.push(this.#round.shift() as TeamQueue);
    }
    return entry;
  }

  /** Finds the job to give up for another one: a late one of the team furthest above its share. */
  findVictim(): Queued | undefined {
    let most: TeamQueue | undefined;
    this.#round.forEach((queue) => {
      if (most === undefined || queue.entries.size / queue.quota > most.entries.size / most.quota) {
        most = queue;
      }
    });
    return most?.entries.last;
  }

  /** Whether a team is further above its share than another would be with one more job. */
  hasExcess(team: string, newcomer: string): boolean {
    if (team === newcomer) return false;
    const [a, b] = [this.#teams.get(team), this.#teams.get(newcomer)];
    const quota = this.#quotas.get(newcomer) ?? 1;
    const load = ((b?.entries.size ?? 0) + 1) / quota;
    return a !== undefined && a.entries.size / a.quota > load;
  }

  /** Counts the jobs that start before a new one of a team, by the shares of the teams. */
  countAhead(team: string): number {
    const own = this.#teams.get(team);
    const ownSize = own?.entries.size ?? 0;
    const quota = own?.quota ?? this.#quotas.get(team) ?? 1;
    const rounds = (ownSize + 1) / quota;
    let ahead = ownSize;
    this.#round.forEach((queue) => {
      if (queue !== own) ahead += Math.min(queue.entries.size, queue.quota * rounds);
    });
    return ahead;
  }

  /** Lists the first entry of each team: one of them has the earliest start of all. */
  listFirst(): Queued[] {
    return this.#round.map((queue) => queue.entries.first as Queued);
  }

  /** Removes one entry; a team without entries leaves the round and lends its share. */
  remove(team: string, id: string): Queued | undefined {
    const queue = this.#teams.get(team);
    const entry = queue?.entries.remove(id);
    if (queue === undefined || entry === undefined) return undefined;
    this.#size -= 1;
    if (queue.entries.size === 0) {
      this.#teams.delete(team);
      this.#round.splice(this.#round.indexOf(queue), 1);
    }
    return entry;
  }

  /** Gives the first team its quantum, relative to the smallest quota: at least one job. */
  #give(): void {
    const least = this.#round.reduce((min, queue) => Math.min(min, queue.quota), Infinity);
    const queue = this.#round[0] as TeamQueue;
    queue.deficit += queue.quota / least;
  }
}
