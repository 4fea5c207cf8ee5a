import { DeadlineQueue, type QueueEntry } from './_DeadlineQueue.js';

/**
 * Queue of all teams without a quota; they share it, so that made-up team names gain no extra
 * share.
 */
export const OTHER_TEAMS = '(other)';

interface TeamQueue {
  team: string;
  quota: number;
  /** Number of jobs that the team may still start in the current round. */
  deficit: number;
  entries: DeadlineQueue;
}

/**
 * The queues of one urgency: deficit round robin between teams, earliest deadline first within a
 * team.
 */
export class TeamQueues {
  #quotas: ReadonlyMap<string, number> = new Map();

  readonly #queueByTeam = new Map<string, TeamQueue>();

  /** Queues of teams with queued jobs in round-robin order; the first one is served. */
  readonly #rotation: TeamQueue[] = [];

  #size = 0;

  get size(): number {
    return this.#size;
  }

  setQuotas(quotas: ReadonlyMap<string, number>): void {
    this.#quotas = quotas;
    this.#rotation.forEach((queue) => {
      // eslint-disable-next-line no-param-reassign -- the queue is owned by this object.
      queue.quota = quotas.get(queue.team) ?? 1;
    });
  }

  /** Returns the name of the queue that holds the jobs of a team. */
  getQueueName(team: string): string {
    return this.#quotas.has(team) ? team : OTHER_TEAMS;
  }

  add(entry: QueueEntry): void {
    let queue = this.#queueByTeam.get(entry.team);
    if (queue === undefined) {
      const quota = this.#quotas.get(entry.team) ?? 1;
      queue = { team: entry.team, quota, deficit: 0, entries: new DeadlineQueue() };
      this.#queueByTeam.set(entry.team, queue);
      this.#rotation.push(queue);
    }
    queue.entries.add(entry);
    this.#size += 1;
  }

  /** Removes and returns the next entry in round-robin order. */
  take(): QueueEntry | undefined {
    if (this.#size === 0) return undefined;
    if ((this.#rotation[0] as TeamQueue).deficit < 1) this.#grantQuantum();
    const queue = this.#rotation[0] as TeamQueue;
    queue.deficit -= 1;
    const entry = this.remove(queue.team, (queue.entries.first as QueueEntry).id);
    // A team that has used its quantum moves to the end of the rotation.
    if (queue.deficit < 1 && this.#rotation[0] === queue) {
      this.#rotation.push(this.#rotation.shift() as TeamQueue);
    }
    return entry;
  }

  /**
   * Finds the job to shed for another: one with a late start in the team furthest above its share.
   */
  findVictim(): QueueEntry | undefined {
    let largest: TeamQueue | undefined;
    this.#rotation.forEach((queue) => {
      if (
        largest === undefined ||
        queue.entries.size / queue.quota > largest.entries.size / largest.quota
      ) {
        largest = queue;
      }
    });
    return largest?.entries.last;
  }

  /** Whether `team` is further above its share than `newcomer` would be with one more job. */
  isFurtherAboveShare(team: string, newcomer: string): boolean {
    if (team === newcomer) return false;
    const [current, other] = [this.#queueByTeam.get(team), this.#queueByTeam.get(newcomer)];
    const quota = this.#quotas.get(newcomer) ?? 1;
    const load = ((other?.entries.size ?? 0) + 1) / quota;
    return current !== undefined && current.entries.size / current.quota > load;
  }

  /** Estimates how many jobs start before a new job of a team, given the shares of the teams. */
  countAhead(team: string): number {
    const own = this.#queueByTeam.get(team);
    const ownSize = own?.entries.size ?? 0;
    const quota = own?.quota ?? this.#quotas.get(team) ?? 1;
    const rounds = (ownSize + 1) / quota;
    let ahead = ownSize;
    this.#rotation.forEach((queue) => {
      if (queue !== own) ahead += Math.min(queue.entries.size, queue.quota * rounds);
    });
    return ahead;
  }

  /** Lists the first entry of each team, which include the entry with the earliest `startBy`. */
  listFirstEntries(): QueueEntry[] {
    return this.#rotation.map((queue) => queue.entries.first as QueueEntry);
  }

  /** Removes an entry. A team without entries leaves the rotation, so others can use its share. */
  remove(team: string, id: string): QueueEntry | undefined {
    const queue = this.#queueByTeam.get(team);
    const entry = queue?.entries.remove(id);
    if (queue === undefined || entry === undefined) return undefined;
    this.#size -= 1;
    if (queue.entries.size === 0) {
      this.#queueByTeam.delete(team);
      this.#rotation.splice(this.#rotation.indexOf(queue), 1);
    }
    return entry;
  }

  /**
   * Grants the first team its quantum: its quota relative to the smallest one, so at least one job.
   */
  #grantQuantum(): void {
    const smallestQuota = this.#rotation.reduce(
      (min, queue) => Math.min(min, queue.quota),
      Infinity,
    );
    const queue = this.#rotation[0] as TeamQueue;
    queue.deficit += queue.quota / smallestQuota;
  }
}
